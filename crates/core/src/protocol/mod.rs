//! The protocol between nodes: frames, messages, and the records that they carry.
//!
//! [`Frame`] is the unit on the wire. Its [`Message`] belongs to one of five concerns, each of which has an enum
//! in the module of the same name. Golden files in `tests/golden` fix the bytes of each message.

mod compression;
mod consensus;
mod digest;
mod dissemination;
mod entry;
mod frame;
mod lease;
mod membership;
mod message;
mod quota;

pub use consensus::{Ballot, Change, ChangeOutcome, ConsensusMessage, MAX_CHANGE_DEPTH};
pub use digest::EntryDigest;
pub use dissemination::{DisseminationMessage, Heartbeat, PeerRecord, RemovalKey, UNKNOWN_INCARNATION, WorkerReport};
pub use entry::{LogEntry, Voter};
pub use frame::{Frame, FrameError, MAX_FRAME_BYTES, PROTOCOL_VERSION, decode_frame, encode_frame};
pub use lease::LeaseMessage;
pub use membership::{MembershipMessage, RegisteredIncarnation};
pub use message::Message;
pub use quota::{LeaseClaim, Loan, LoanRequest, QuotaMessage, ShareGrant, ShareRequest, WindowGrant};
