//! A worker that responds with fixed bytes, for responses that HTTP libraries do not send.

use super::http::{HttpClient, request_text};
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Starts a worker that responds to each call with the bytes of `response` and closes the connection.
/// The worker reports to the admin address `node` until this address is unreachable.
///
/// # Errors
///
/// The listener can't be bound to the address.
pub async fn start_raw_worker(
    id: &str,
    pool: &str,
    listen: SocketAddr,
    response: &'static [u8],
    node: String,
    http: HttpClient,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(report(id.to_owned(), pool.to_owned(), addr, node, http));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, response));
        }
    });
    Ok(())
}

/// Sends reports until the node is unreachable.
async fn report(id: String, pool: String, addr: SocketAddr, node: String, http: HttpClient) {
    for seq in 1u64.. {
        let body = format!(
            "{{\"id\":\"{id}\",\"incarnation\":1,\"seq\":{seq},\"addr\":\"{addr}\",\"pool\":\"{pool}\",\"zone\":\"z1\",\"slots\":8,\"busy\":0}}"
        );
        let headers = [("authorization", "Bearer worker-token")];
        let uri = format!("http://{node}/v1/report");
        if request_text(&http, Method::POST, &uri, &headers, &body).await.is_err() {
            return;
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Reads a request up to the end of its JSON body, writes the response and closes the connection.
async fn respond(mut stream: TcpStream, response: &'static [u8]) {
    let mut buffer = vec![0; 4 << 10];
    let mut request = Vec::new();
    // The head and the body of a request may be received in separate reads.
    while !request.ends_with(b"}") {
        match stream.read(&mut buffer).await {
            Ok(length) if length > 0 => request.extend_from_slice(&buffer[..length]),
            _ => return,
        }
    }
    let _ = stream.write_all(response).await;
    let _ = stream.shutdown().await;
}
