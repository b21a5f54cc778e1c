//! CPU time of signing and verifying frames.

use catkin_base::VmId;
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{ChunkData, GrantAsk, MemberUpdate, PeerMessage, Ping};
use catkin_peer::{FrameSigner, FrameVerifier, PeerIdentity, PeerKey};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

const RECEIVER: VmId = VmId(2);
const CHUNK_BYTES: usize = 12 << 10;

fn key() -> PeerKey {
    PeerKey::from_hex(&"5c".repeat(32)).expect("64 digits")
}

fn identity(vm: VmId) -> PeerIdentity {
    PeerIdentity { vm, incarnation: 1_700_000_000_000, port: 7001 }
}

fn messages() -> [(&'static str, PeerMessage); 3] {
    let update = MemberUpdate { vm: 3, incarnation: 4, port: 7001, ..MemberUpdate::default() };
    let ping = Ping { probe: 1, updates: vec![update; 8], ..Ping::default() };
    let request =
        GrantAsk { request: 1, server: 2, chat: 3, team: 4, class: 5, ..GrantAsk::default() };
    let chunk = ChunkData { digest: "d".repeat(64), content: vec![7; CHUNK_BYTES] };
    [
        ("ping_8_updates", PeerMessage { kind: Some(Kind::Ping(ping)) }),
        ("grant_ask", PeerMessage { kind: Some(Kind::GrantAsk(request)) }),
        ("chunk_12_kib", PeerMessage { kind: Some(Kind::ChunkData(chunk)) }),
    ]
}

fn bench_frames(criterion: &mut Criterion) {
    let signer = FrameSigner::new(key(), identity(VmId(1)));
    for (name, message) in messages() {
        let bytes = signer.sign_message(RECEIVER, 1, &message).len();
        criterion.bench_function(&format!("seal/{name}/{bytes}_bytes"), |bencher| {
            bencher.iter(|| signer.sign_message(RECEIVER, 1, &message));
        });
        let mut verifier =
            FrameVerifier::new(key(), PeerIdentity { incarnation: 1, ..identity(RECEIVER) });
        criterion.bench_function(&format!("open/{name}/{bytes}_bytes"), |bencher| {
            bencher.iter_batched(
                || signer.sign_message(RECEIVER, 1, &message),
                |frame| verifier.verify_frame(&frame),
                BatchSize::SmallInput,
            );
        });
    }
}

criterion_group!(benches, bench_frames);
criterion_main!(benches);
