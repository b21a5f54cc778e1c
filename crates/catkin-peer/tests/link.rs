//! Links over loopback deliver small and large messages, and continue after malformed frames, lost
//! messages and a restart of the receiver.

use catkin_base::VmId;
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{ChunkData, PeerMessage, Ping};
use catkin_peer::{BindError, DropReason, LinkSettings, PeerKey, PeerLink, UdpLink};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

const A: VmId = VmId(1);
const B: VmId = VmId(2);

fn settings(vm: VmId, incarnation: u64) -> LinkSettings {
    let key = PeerKey::from_hex(&"5c".repeat(32)).unwrap();
    LinkSettings { vm, incarnation, address: ([127, 0, 0, 1], 0).into(), key }
}

async fn link(vm: VmId, incarnation: u64) -> UdpLink {
    UdpLink::bind(&settings(vm, incarnation)).await.unwrap()
}

fn ping(probe: u64) -> PeerMessage {
    PeerMessage { kind: Some(Kind::Ping(Ping { probe, ..Ping::default() })) }
}

fn chunk(length: usize) -> PeerMessage {
    let data = ChunkData { digest: "d".to_owned(), content: vec![7; length] };
    PeerMessage { kind: Some(Kind::ChunkData(data)) }
}

/// Waits until the link has dropped a frame for this reason.
async fn wait_for_dropped(link: &UdpLink, reason: DropReason) {
    while link.dropped().count(reason) == 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn small_message_arrives_with_its_source() {
    let (a, b) = (link(A, 3).await, link(B, 4).await);

    a.send(B, b.address(), &ping(8));
    let (source, message) = b.receive().await.unwrap();

    assert_eq!((source.vm, source.incarnation, source.address), (A, 3, a.address()));
    assert_eq!(message, ping(8));
    assert!(a.sent_bytes() > 0);
}

#[tokio::test]
async fn large_message_arrives_complete_with_the_address_of_the_peer_listener() {
    let (a, b) = (link(A, 3).await, link(B, 4).await);

    a.send(B, b.address(), &chunk(1 << 20));
    let (source, message) = b.receive().await.unwrap();

    assert_eq!(source.address, a.address());
    assert_eq!(message, chunk(1 << 20));
}

#[tokio::test]
async fn damaged_datagrams_are_counted_and_do_not_stop_the_link() {
    let (a, b) = (link(A, 3).await, link(B, 4).await);
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.send_to(&[0x3a; 64], b.address()).await.unwrap();
    wait_for_dropped(&b, DropReason::Malformed).await;

    a.send(B, b.address(), &ping(1));
    let received = b.receive().await;

    assert_eq!(received.unwrap().1, ping(1));
    assert_eq!(b.dropped().total(), 1);
}

#[tokio::test]
async fn too_long_stream_frame_is_counted_and_does_not_stop_the_link() {
    let (a, b) = (link(A, 3).await, link(B, 4).await);
    let mut stream = TcpStream::connect(b.address()).await.unwrap();
    stream.write_all(&u32::MAX.to_be_bytes()).await.unwrap();
    wait_for_dropped(&b, DropReason::TooLong).await;

    a.send(B, b.address(), &chunk(5_000));
    let received = b.receive().await;

    assert_eq!(received.unwrap().1, chunk(5_000));
}

/// Guards against a part of a large message whose connection is closed in order and that counts as a message.
#[tokio::test]
async fn stream_frame_that_ends_early_is_not_received() {
    let (a, b) = (link(A, 3).await, link(B, 4).await);
    a.send(B, b.address(), &ping(1));
    b.receive().await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    a.send(B, listener.local_addr().unwrap(), &chunk(5_000));
    let mut frame = Vec::new();
    listener.accept().await.unwrap().0.read_to_end(&mut frame).await.unwrap();
    let ends = (0..10).chain((10..frame.len()).step_by(251)).chain([frame.len() - 1]);
    for end in ends {
        let mut stream = TcpStream::connect(b.address()).await.unwrap();
        stream.write_all(&frame[..end]).await.unwrap();
        stream.shutdown().await.unwrap();
        assert_eq!(stream.read(&mut [0; 1]).await.unwrap(), 0, "{end} bytes");
    }

    TcpStream::connect(b.address()).await.unwrap().write_all(&frame).await.unwrap();
    let received = b.receive().await.unwrap().1;

    assert_eq!(received, chunk(5_000));
    assert_eq!(b.dropped().total(), 0);
}

#[tokio::test]
async fn sender_learns_that_the_receiver_restarted() {
    let a = link(A, 3).await;
    let first = link(B, 4).await;
    first.send(A, a.address(), &ping(1));
    a.receive().await.unwrap();
    let mut again = settings(B, 5);
    again.address = first.address();
    first.close().await;
    drop(first);
    let second = UdpLink::bind(&again).await.unwrap();

    a.send(B, second.address(), &ping(2));
    wait_for_dropped(&second, DropReason::OldReceiver).await;
    while a.known_incarnation(B) != 5 {
        tokio::task::yield_now().await;
    }
    a.send(B, second.address(), &ping(3));

    assert_eq!(second.receive().await.unwrap().1, ping(3));
}

#[tokio::test]
async fn message_to_a_closed_port_is_lost_without_an_effect_on_the_link() {
    let (a, b) = (link(A, 3).await, link(B, 4).await);
    let closed = link(VmId(9), 1).await;
    let address = closed.address();
    closed.close().await;
    drop(closed);
    a.send(VmId(9), address, &ping(1));
    a.send(VmId(9), address, &chunk(5_000));

    b.send(A, a.address(), &ping(2));

    assert_eq!(a.receive().await.unwrap().1, ping(2));
}

#[tokio::test]
async fn closed_link_receives_nothing() {
    let a = link(A, 3).await;

    a.close().await;

    assert_eq!(a.receive().await, None);
}

#[tokio::test]
async fn address_in_use_is_a_bind_error() {
    let a = link(A, 3).await;
    let mut occupied = settings(B, 4);
    occupied.address = a.address();

    let error = UdpLink::bind(&occupied).await.unwrap_err();

    assert!(matches!(error, BindError::Tcp { address, .. } if address == a.address()));
}
