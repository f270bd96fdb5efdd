//! A worker that responds with fixed bytes, for responses that HTTP libraries do not send.

use super::http::HttpClient;
use super::report::{WorkerStatus, report_body, send_report};
use super::worker::WorkerSpec;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// An orderly close, after which the peer has received all bytes.
    Close,
    /// A reset.
    Reset,
}

/// The response of a raw worker to each call.
#[derive(Clone, Copy, Debug)]
pub struct RawResponse {
    /// All bytes of the response.
    pub bytes: &'static [u8],
    /// What follows the bytes.
    pub end: ConnectionEnd,
}

/// Starts a worker that responds to each call with the same bytes and ends the connection.
/// The worker reports to the admin address `node` until this address is unreachable.
///
/// # Errors
///
/// The listener can't be bound to the address.
pub async fn start_raw_worker(
    id: &str,
    pool: &str,
    listen: SocketAddr,
    response: RawResponse,
    node: String,
    http: HttpClient,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    let spec = WorkerSpec {
        id: id.into(),
        addr,
        pool: pool.into(),
        zone: "z1".into(),
        slots: 8,
        incarnation: 1,
        nodes: vec![node],
    };
    tokio::spawn(report(spec, addr, http));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, response));
        }
    });
    Ok(())
}

/// The time from the last byte of a response to the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(100);

/// Sends reports until the node is unreachable.
async fn report(spec: WorkerSpec, addr: SocketAddr, http: HttpClient) {
    for seq in 1u64.. {
        let body = report_body(&spec, WorkerStatus { addr, seq, busy: 0, is_draining: false });
        if !send_report(&http, &spec.nodes[0], &body).await {
            return;
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Reads a request up to the end of its JSON body, writes the response and ends the connection.
async fn respond(mut stream: TcpStream, response: RawResponse) {
    let mut buffer = vec![0; 4 << 10];
    let mut request = Vec::new();
    // The head and the body of a request may be received in separate reads.
    while !request.ends_with(b"}") {
        match stream.read(&mut buffer).await {
            Ok(length) if length > 0 => request.extend_from_slice(&buffer[..length]),
            _ => return,
        }
    }
    let _ = stream.write_all(response.bytes).await;
    match response.end {
        ConnectionEnd::Close => {
            let _ = stream.shutdown().await;
        }
        // A reset discards what the peer has not read, so it waits until the peer has.
        ConnectionEnd::Reset => {
            tokio::time::sleep(RESET_DELAY).await;
            let _ = stream.set_zero_linger();
        }
    }
}
