//! Requests with long bodies to workers on plain sockets that leave them unread for some seconds.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;
use sumacvale_node::net::WORKER_USER_TIMEOUT;
use sumacvale_node::upstream::{ConnectionRequirements, Target, Timeouts, UpstreamConnection, UpstreamPool};

type Res = Result<(), Box<dyn std::error::Error>>;

/// How long a worker leaves the body unread: twice the time after which an unreachable worker is given up.
const PAUSE: Duration = Duration::from_secs(2 * WORKER_USER_TIMEOUT.as_secs());
/// The size of the body, in bytes: more than the receive buffer of an unread socket.
const BODY_BYTES: usize = 2 << 20;
/// The time-out of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// When the worker sends the head of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeadSent {
    BeforeThePause,
    AfterTheBody,
}

fn read_head(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(())
}

/// Serves one request: reads its head, leaves its body unread until `resumed` closes or [`PAUSE`] is over, then reads it.
fn serve(listener: &TcpListener, head_sent: HeadSent, resumed: &Receiver<()>) -> std::io::Result<()> {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";
    let (mut stream, _) = listener.accept()?;
    read_head(&mut stream)?;
    if head_sent == HeadSent::BeforeThePause {
        stream.write_all(HEAD)?;
    }
    let _ = resumed.recv_timeout(PAUSE);
    stream.read_exact(&mut vec![0; BODY_BYTES])?;
    if head_sent == HeadSent::AfterTheBody {
        stream.write_all(HEAD)?;
    }
    stream.write_all(b"done")
}

/// Sends a request with a long body, and returns the body of the response.
async fn call(addr: SocketAddr) -> Result<String, String> {
    let pool = UpstreamPool::new(Timeouts::default());
    let target = Target { addr, worker_id: "w".into(), incarnation: 1 };
    let requirements = ConnectionRequirements { must_be_new: true, is_non_idempotent: true, max_connections: 0 };
    let connection =
        UpstreamConnection::to(target).open(&pool, requirements).await.map_err(|error| error.to_string())?;
    let body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
    let request = hyper::Request::post("/a").header("host", "x").body(body).map_err(|error| error.to_string())?;
    let (response, connection) = connection.send(request).await.map_err(|error| error.to_string())?;
    let body = response.into_body().collect().await.map_err(|error| error.to_string())?.to_bytes();
    connection.return_idle(&pool);
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Guards against an answer that is left although the worker is reachable: bytes that a worker does not read yet count as
/// unacknowledged for the kernel.
#[test]
fn a_worker_may_leave_a_long_body_unread() -> Res {
    for head_sent in [HeadSent::BeforeThePause, HeadSent::AfterTheBody] {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let (_resume, resumed) = channel();
        let worker = std::thread::spawn(move || serve(&listener, head_sent, &resumed));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let answer = runtime.block_on(async { tokio::time::timeout(TEST_TIMEOUT, call(addr)).await })?;
        assert_eq!(answer.as_deref(), Ok("done"), "{head_sent:?}");
        worker.join().map_err(|_| "the worker panicked")??;
    }
    Ok(())
}
