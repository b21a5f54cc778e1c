//! Writes `src/messages.rs` from `proto/peer.proto`. Run by hand after a change of the protocol.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])?;
    let out_dir = root.join("src");
    prost_build::Config::new().out_dir(&out_dir).compile_fds(descriptors)?;
    std::fs::rename(out_dir.join("catkin.peer.rs"), out_dir.join("messages.rs"))?;
    Ok(())
}
