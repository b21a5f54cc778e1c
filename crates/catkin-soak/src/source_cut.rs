//! Cuts the connections that come from some addresses: those of routers to all servers.

use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;

use catkin_base::copy_type;
use socket2::{SockFilter, SockRef};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Codes of the statements of a socket filter.
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;
/// Offset of the source address in the header of an IPv4 packet, from the network header on.
const SOURCE_OFFSET: u32 = 0xfff0_0000 + 12;

copy_type! {
    /// How connections are cut. New ones time out in each case.
    pub enum CutKind {
        /// Open connections pass no more bytes.
        Silent,
        /// Open connections are reset.
        Reset,
        /// Open connections work.
        NewOnly,
    }
}

/// The addresses whose connections are cut.
pub(crate) type SourceCuts = BTreeMap<IpAddr, CutKind>;

/// Drops the packets that arrive at a listener from addresses that are cut.
pub(crate) fn drop_packets(listener: &TcpListener, cuts: &SourceCuts) -> io::Result<()> {
    let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_OFFSET)];
    for source in cuts.keys() {
        if let IpAddr::V4(source) = source {
            program.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, u32::from(*source)));
            program.push(SockFilter::new(RETURN, 0, 0, 0));
        }
    }
    program.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    SockRef::from(listener).attach_filter(&program)
}

/// Waits until the open connections from an address are cut, and returns how.
pub(crate) async fn wait_for_cut(mut cuts: watch::Receiver<SourceCuts>, source: IpAddr) -> CutKind {
    let is_cut =
        |cuts: &SourceCuts| matches!(cuts.get(&source), Some(CutKind::Silent | CutKind::Reset));
    let cut = cuts.wait_for(is_cut).await.ok().and_then(|cuts| cuts.get(&source).copied());
    match cut {
        Some(kind) => kind,
        None => std::future::pending().await,
    }
}
