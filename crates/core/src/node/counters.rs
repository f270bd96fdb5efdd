//! Counters for the metrics of a node.

macro_rules! counts {
    ($($(#[doc = $d:literal])* $n:ident,)*) => {
        /// Counters of the control plane; they only grow.
        #[derive(Clone, Debug, Default)]
        pub struct Counters { $($(#[doc = $d])* pub $n: u64,)* }

        impl Counters {
            /// Name, value and description of each.
            pub fn list(&self) -> Vec<(&'static str, u64, &'static str)> {
                vec![$((stringify!($n), self.$n, concat!($($d),*)),)*]
            }
        }
    };
}

counts! {
    /// Frames taken from other nodes.
    frames_in,
    /// Frames sent to other nodes.
    frames_out,
    /// Peers heard in a new life, so that connections to the former one were opened anew.
    peers_restarted,
    /// Frames of another fleet that were dropped.
    frames_foreign,
    /// Ballots begun here.
    ballots,
    /// Ballots that met a higher one.
    ballots_outbid,
    /// Versions learned.
    versions,
    /// Digests (whole states) taken.
    digests,
    /// Freshness rounds that a majority confirmed.
    confirms,
    /// Reports of workers applied.
    reports,
    /// Reports that were older than what was known.
    reports_old,
    /// Reports from an ended life of a worker.
    reports_ended,
    /// Reports that claimed to be from the future.
    reports_future,
    /// Reports of other nodes dropped because their age could not be known.
    reports_unaged,
    /// Workers' ends spread at once from here.
    ends,
    /// Words of workers not acknowledged, because too few could know them.
    unheard,
    /// Terms won.
    terms_won,
    /// Sets of voters taken over with nobody to take over from.
    takeovers_alone,
    /// Terms refused by another core.
    terms_refused,
    /// Messages of a holder that a newer term fences off.
    fenced,
    /// Slices given as a holder.
    slices_given,
    /// Asks answered with a spent window.
    slices_spent,
    /// Recalls sent for idle slices.
    recalls,
    /// Shares of a rate that grew, as a holder.
    shares_grown,
    /// Shares of a rate that shrank, as a holder.
    shares_shrunk,
    /// Shares of a rate renewed unchanged, as a holder.
    shares_renewed,
    /// Asks for shares that this node sent.
    share_asks,
    /// Asks for shares that nobody answered in time.
    share_asks_mute,
    /// Calls of operators forwarded to a core.
    forwarded,
    /// Changes of voters proposed here without an operator.
    members_changed,
    /// Founding pledges that did not agree.
    founding_split,
}
