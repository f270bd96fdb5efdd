//! Test doubles for workers, clients and the network between them. Workers and clients record all calls.

mod client;
mod http;
mod log;
mod pausing_worker;
mod raw;
mod relay;
mod report;
mod worker;

pub use client::{ClientObservation, ClientRecord, StandInClient};
pub use http::{HttpClient, http_client, request_text, send_request};
pub use log::{WorkerArrival, WorkerLog, WorkerRun};
pub use pausing_worker::{LoggedRun, PausingWorker, RunLog};
pub use raw::{ConnectionEnd, RawResponse, start_raw_worker};
pub use relay::{LinkState, Relay};
pub use worker::{StandInWorker, WorkerMode, WorkerSpec};
