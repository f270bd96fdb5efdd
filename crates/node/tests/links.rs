//! Links between nodes: what waits for a node that does not read is bounded in bytes, and what this
//! release can't read ends no peer's connection.

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
        // They take connections and read nothing.
        let mut nodes = Vec::new();
        for _ in 0..4 {
            nodes.push(tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port"));
        }
        let tally = Arc::new(LinkCounters::default());
        let mut links = OutboundLinks::new(tally.clone());
        let mut most = 0;
        for _ in 0..20 {
            for node in &nodes {
                links.send(&node.local_addr().expect("bound").to_string(), vec![0; 4 << 20], false);
                most = most.max(links.queued_bytes());
            }
            tokio::task::yield_now().await;
        }
        println!("{most} bytes waited at most, {} frames were dropped", tally.dropped_frames.load(Ordering::Relaxed));
        assert!(most <= MAX_QUEUED_BYTES, "{most}");
        // Nodes still hear that this one lives.
        let dropped = tally.dropped_frames.load(Ordering::Relaxed);
        links.send(&nodes[0].local_addr().expect("bound").to_string(), vec![0; 100], false);
        assert!(dropped > 0 && dropped == tally.dropped_frames.load(Ordering::Relaxed));
    })
    .await;
}

fn frame(n: u64) -> Vec<u8> {
    let msg = Message::Quota(QuotaMessage::SliceRequest {
        request_id: n,
        tenant: "t".into(),
        wanted_units: 2,
        window: 3,
        returned: 4,
    });
    encode_frame(&Frame { from: NodeId(1), to: NodeId(2), incarnation: 3, fleet_id: 4, sent_at: 5, message: msg })
        .expect("packs")
}

/// A frame of this form whose content no release has a word for.
fn unreadable() -> Vec<u8> {
    let mut bytes = frame(9);
    let kept = bytes.len() / 2;
    bytes.truncate(kept);
    assert!(sumacvale_core::protocol::decode_frame(&bytes).is_err() && bytes[0] == PROTOCOL_VERSION);
    bytes
}

/// Sends these frames on one connection and tells whether the listener closed it, which asks came
/// through, and how many frames were skipped.
async fn heard(frames: &[Vec<u8>]) -> (bool, Vec<u64>, u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let to = listener.local_addr().expect("bound");
    let tally = Arc::new(LinkCounters::default());
    let got = Rc::new(RefCell::new(Vec::new()));
    let sink = got.clone();
    let take = async move |f: Frame| {
        if let Message::Quota(QuotaMessage::SliceRequest { request_id: n, .. }) = f.message {
            sink.borrow_mut().push(n);
        }
    };
    let server = tokio::task::spawn_local(listen(listener, tally.clone(), take));
    let mut peer = TcpStream::connect(to).await.expect("connects");
    for bytes in frames {
        let length = u32::try_from(bytes.len()).expect("small");
        // A connection that was closed meanwhile shows by what is read from it.
        let _ = peer.write_all(&length.to_le_bytes()).await;
        let _ = peer.write_all(bytes).await;
    }
    // The end of what is sent ends an intact connection; one that was closed early may be reset.
    let _ = peer.shutdown().await;
    let mut rest = Vec::new();
    let _ = peer.read_to_end(&mut rest).await;
    server.abort();
    let all = got.borrow().clone();
    let garbled = tally.invalid_frames.load(Ordering::Relaxed);
    (garbled > 0, all, tally.skipped_frames.load(Ordering::Relaxed))
}

#[tokio::test]
async fn what_a_known_peer_says_in_words_of_another_release_is_skipped() {
    let set = tokio::task::LocalSet::new();
    set.run_until(async {
        let other_form = vec![PROTOCOL_VERSION + 1, 1, 2, 3];
        for (name, frames, closed, asks, skipped) in [
            ("a frame of another release", vec![frame(1), unreadable(), frame(2)], false, vec![1, 2], 1),
            ("several", vec![frame(1), unreadable(), unreadable(), frame(2)], false, vec![1, 2], 2),
            ("a stranger", vec![unreadable(), frame(2)], true, vec![], 0),
            ("another form", vec![frame(1), other_form, frame(2)], true, vec![1], 0),
            ("nothing", vec![frame(1), vec![], frame(2)], true, vec![1], 0),
        ] {
            let (was_closed, came, unread) = heard(&frames).await;
            assert_eq!((was_closed, came, unread), (closed, asks, skipped), "{name}");
        }
    })
    .await;
}
