//! Links between nodes: frames queued for a node that doesn't read take bounded memory, and a frame that
//! this release can't decode doesn't close the connection of a known peer.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use sumacvale_core::base::NodeId;
use sumacvale_core::protocol::{Frame, Message, PROTOCOL_VERSION, QuotaMessage, encode_frame};
use sumacvale_node::link::{LinkCounters, MAX_QUEUED_BYTES, OutboundLinks, listen};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn large_frames_for_nodes_that_do_not_read_take_bounded_memory() {
    let set = tokio::task::LocalSet::new();
    set.run_until(async {
        // These nodes accept connections and read nothing.
        let mut nodes = Vec::new();
        for _ in 0..4 {
            nodes.push(tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port"));
        }
        let counters = Arc::new(LinkCounters::default());
        let mut links = OutboundLinks::new(counters.clone());
        let mut max_queued = 0;
        for _ in 0..20 {
            for node in &nodes {
                links.send(&node.local_addr().expect("bound").to_string(), vec![0; 4 << 20], false);
                max_queued = max_queued.max(links.queued_bytes());
            }
            tokio::task::yield_now().await;
        }
        println!(
            "{max_queued} bytes queued at most, {} frames dropped",
            counters.dropped_frames.load(Ordering::Relaxed)
        );
        assert!(max_queued <= MAX_QUEUED_BYTES, "{max_queued}");
        // Small frames, such as heartbeats, are still queued.
        let dropped_frames = counters.dropped_frames.load(Ordering::Relaxed);
        links.send(&nodes[0].local_addr().expect("bound").to_string(), vec![0; 100], false);
        assert!(dropped_frames > 0 && dropped_frames == counters.dropped_frames.load(Ordering::Relaxed));
    })
    .await;
}

/// An encoded frame with a quota request of this id.
fn encoded_frame(request_id: u64) -> Vec<u8> {
    let message = Message::Quota(QuotaMessage::SliceRequest {
        request_id,
        tenant: "t".into(),
        wanted_units: 2,
        window: 3,
        returned: 4,
    });
    encode_frame(&Frame { from: NodeId(1), to: NodeId(2), incarnation: 3, fleet_id: 4, sent_at: 5, message })
        .expect("encodes")
}

/// An encoded frame of the current protocol version whose message can't be decoded.
fn undecodable_frame() -> Vec<u8> {
    let mut bytes = encoded_frame(9);
    let kept = bytes.len() / 2;
    bytes.truncate(kept);
    assert!(sumacvale_core::protocol::decode_frame(&bytes).is_err() && bytes[0] == PROTOCOL_VERSION);
    bytes
}

/// Sends these frames on one connection. Returns whether the listener counted an invalid frame, the ids
/// of the requests that it received, and how many frames it skipped.
async fn send_frames(frames: &[Vec<u8>]) -> (bool, Vec<u64>, u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let counters = Arc::new(LinkCounters::default());
    let received = Rc::new(RefCell::new(Vec::new()));
    let sink = received.clone();
    let on_frame = async move |frame: Frame| {
        if let Message::Quota(QuotaMessage::SliceRequest { request_id, .. }) = frame.message {
            sink.borrow_mut().push(request_id);
        }
    };
    let server = tokio::task::spawn_local(listen(listener, counters.clone(), on_frame));
    let mut peer = TcpStream::connect(addr).await.expect("connects");
    for bytes in frames {
        let length = u32::try_from(bytes.len()).expect("small");
        // An error here means that the listener closed the connection, which is checked below.
        let _ = peer.write_all(&length.to_le_bytes()).await;
        let _ = peer.write_all(bytes).await;
    }
    // The listener closes an intact connection at the end of the stream; it may reset one earlier.
    let _ = peer.shutdown().await;
    let mut rest = Vec::new();
    let _ = peer.read_to_end(&mut rest).await;
    server.abort();
    let request_ids = received.borrow().clone();
    let invalid_frames = counters.invalid_frames.load(Ordering::Relaxed);
    (invalid_frames > 0, request_ids, counters.skipped_frames.load(Ordering::Relaxed))
}

#[tokio::test]
async fn an_undecodable_frame_of_a_known_peer_is_skipped() {
    let set = tokio::task::LocalSet::new();
    set.run_until(async {
        let other_version = vec![PROTOCOL_VERSION + 1, 1, 2, 3];
        for (name, frames, is_closed, request_ids, skipped) in [
            (
                "a frame of another release",
                vec![encoded_frame(1), undecodable_frame(), encoded_frame(2)],
                false,
                vec![1, 2],
                1,
            ),
            (
                "several frames of another release",
                vec![encoded_frame(1), undecodable_frame(), undecodable_frame(), encoded_frame(2)],
                false,
                vec![1, 2],
                2,
            ),
            ("an unknown peer", vec![undecodable_frame(), encoded_frame(2)], true, vec![], 0),
            ("another protocol version", vec![encoded_frame(1), other_version, encoded_frame(2)], true, vec![1], 0),
            ("an empty frame", vec![encoded_frame(1), vec![], encoded_frame(2)], true, vec![1], 0),
        ] {
            let (was_closed, received, skipped_count) = send_frames(&frames).await;
            assert_eq!((was_closed, received, skipped_count), (is_closed, request_ids, skipped), "{name}");
        }
    })
    .await;
}
