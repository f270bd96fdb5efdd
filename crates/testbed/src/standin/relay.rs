//! A relay that fails like a network: it stalls, loses one direction or resets connections.

use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 << 10;

/// What a relay does with the connections through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Everything passes.
    Healthy,
    /// Nothing passes, and nothing is closed.
    Stalled,
    /// Requests arrive and nothing comes back.
    HalfOpen,
    /// Every connection is reset, and so is each new one.
    Cut,
}

/// A stand-in for the link between nodes and one address.
#[derive(Clone, Debug)]
pub struct Relay {
    /// The address that it listens at.
    pub addr: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
}

impl Relay {
    /// Starts a healthy relay.
    ///
    /// # Errors
    ///
    /// The address can't be listened at.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let (state, states) = watch::channel(LinkState::Healthy);
        tokio::spawn(accept(listener, target, states));
        Ok(Relay { addr, state: Arc::new(state) })
    }

    /// Changes what the relay does, also with the connections that are open.
    pub fn set(&self, state: LinkState) {
        let _ = self.state.send(state);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, states: watch::Receiver<LinkState>) {
    while let Ok((client, _)) = listener.accept().await {
        let _ = client.set_nodelay(true);
        if *states.borrow() == LinkState::Cut {
            // Dropped without lingering, so that the client gets a reset.
            let _ = client.set_zero_linger();
            continue;
        }
        let states = states.clone();
        tokio::spawn(async move {
            if let Ok(server) = TcpStream::connect(target).await {
                let _ = server.set_nodelay(true);
                pass(client, server, states).await;
            }
        });
    }
}

/// Passes bytes both ways until either side closes or the link is cut; then resets the client.
async fn pass(client: TcpStream, server: TcpStream, mut states: watch::Receiver<LinkState>) {
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let (mut requests, mut responses) = (vec![0; BUFFER_BYTES], vec![0; BUFFER_BYTES]);
    loop {
        let state = *states.borrow_and_update();
        let open = tokio::select! {
            change = states.changed() => change.is_ok() && *states.borrow() != LinkState::Cut,
            read = from_client.read(&mut requests), if matches!(state, LinkState::Healthy | LinkState::HalfOpen) => {
                match read {
                    Ok(length) if length > 0 => to_server.write_all(&requests[..length]).await.is_ok(),
                    _ => false,
                }
            }
            read = from_server.read(&mut responses), if state == LinkState::Healthy => match read {
                Ok(length) if length > 0 => to_client.write_all(&responses[..length]).await.is_ok(),
                _ => false,
            },
        };
        if !open {
            if let Ok(client) = from_client.reunite(to_client) {
                let _ = client.set_zero_linger();
            }
            return;
        }
    }
}
