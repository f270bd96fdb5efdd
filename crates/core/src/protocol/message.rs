//! The messages between nodes, by concern.

use super::{ConsensusMessage, DisseminationMessage, LeaseMessage, MembershipMessage, QuotaMessage};
use musli::alloc::Allocator;
use musli::de::VariantDecoder;
use musli::{Context, Decode, Decoder, Encode, Encoder};

/// A message between nodes.
///
/// On the wire a message is one flat enum: the tags of the variants are unique among all five inner enums, and
/// the inner enum is not encoded. A tag is never reused for another variant, as adjacent releases run in one
/// fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A message of the consensus on versions.
    Consensus(ConsensusMessage),
    /// A message of the bootstrap and of changes of the set of voters.
    Membership(MembershipMessage),
    /// A message of the leases of singleton roles.
    Lease(LeaseMessage),
    /// A message of the quotas.
    Quota(QuotaMessage),
    /// A message of gossip, worker reports or clock readings.
    Dissemination(DisseminationMessage),
}

impl Message {
    /// Returns the name of the message kind, for logs and traces.
    pub fn name(&self) -> &'static str {
        match self {
            Message::Consensus(message) => message.name(),
            Message::Membership(message) => message.name(),
            Message::Lease(message) => message.name(),
            Message::Quota(message) => message.name(),
            Message::Dissemination(message) => message.name(),
        }
    }
}

impl<M> Encode<M> for Message
where
    M: 'static,
    ConsensusMessage: Encode<M>,
    MembershipMessage: Encode<M>,
    LeaseMessage: Encode<M>,
    QuotaMessage: Encode<M>,
    DisseminationMessage: Encode<M>,
{
    type Encode = Self;
    const IS_BITWISE_ENCODE: bool = false;

    fn encode<E>(&self, encoder: E) -> Result<(), E::Error>
    where
        E: Encoder<Mode = M>,
    {
        match self {
            Message::Consensus(message) => message.encode(encoder),
            Message::Membership(message) => message.encode(encoder),
            Message::Lease(message) => message.encode(encoder),
            Message::Quota(message) => message.encode(encoder),
            Message::Dissemination(message) => message.encode(encoder),
        }
    }

    fn size_hint(&self) -> Option<usize> {
        None
    }

    fn as_encode(&self) -> &Self::Encode {
        self
    }
}

impl<'de, M, A> Decode<'de, M, A> for Message
where
    M: 'static,
    A: Allocator,
    usize: Decode<'de, M, A>,
    ConsensusMessage: Decode<'de, M, A>,
    MembershipMessage: Decode<'de, M, A>,
    LeaseMessage: Decode<'de, M, A>,
    QuotaMessage: Decode<'de, M, A>,
    DisseminationMessage: Decode<'de, M, A>,
{
    const IS_BITWISE_DECODE: bool = false;

    fn decode<D>(decoder: D) -> Result<Self, D::Error>
    where
        D: Decoder<'de, Mode = M, Allocator = A>,
    {
        let context = decoder.cx();
        let Some(lookahead) = decoder.try_clone() else {
            return Err(context.message("messages can be decoded only from a byte slice"));
        };
        let tag: usize = lookahead.decode_variant(|variant| variant.decode_tag()?.decode())?;
        match tag {
            2 | 3 | 4 | 5 | 6 | 7 | 8 | 9 | 10 | 30 | 31 | 39 | 40 => decoder.decode().map(Message::Consensus),
            1 | 22 | 23 | 32 | 33 | 34 => decoder.decode().map(Message::Membership),
            17 | 18 | 19 | 41 | 42 => decoder.decode().map(Message::Lease),
            20 | 21 | 24 | 25 | 26 | 27 | 28 | 29 | 35 | 36 | 37 | 38 | 45 | 46 => decoder.decode().map(Message::Quota),
            0 | 11 | 12 | 13 | 14 | 15 | 16 | 43 | 44 => decoder.decode().map(Message::Dissemination),
            _ => Err(context.message("unknown message tag; run only adjacent releases in one fleet")),
        }
    }
}
