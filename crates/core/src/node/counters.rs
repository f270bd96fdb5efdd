//! Counters of the control plane, exported as metrics of a node.
//!
//! The doc comment of each counter is its help text in the metrics.

macro_rules! counters {
    ($($(#[doc = $description:literal])* $name:ident,)*) => {
        /// Counters of the control plane; they only grow.
        #[derive(Clone, Debug, Default)]
        pub struct Counters { $($(#[doc = $description])* pub $name: u64,)* }

        impl Counters {
            /// Name, value and description of each counter.
            pub fn list(&self) -> Vec<(&'static str, u64, &'static str)> {
                vec![$((stringify!($name), self.$name, concat!($($description),*)),)*]
            }
        }
    };
}

counters! {
    /// Frames received from other nodes.
    frames_in,
    /// Frames sent to other nodes.
    frames_out,
    /// Peers heard in a new incarnation, so that connections to the former one were opened anew.
    peers_restarted,
    /// Frames of another fleet that were dropped.
    frames_foreign,
    /// Ballots begun here.
    ballots,
    /// Ballots that lost against a higher one.
    ballots_preempted,
    /// Versions of the configuration applied.
    versions_applied,
    /// Versions applied that left out earlier ones, so that a snapshot was taken.
    snapshots_applied,
    /// Freshness probes that a majority confirmed.
    freshness_confirmed,
    /// Reports of workers applied.
    reports,
    /// Reports that were older than what was known.
    reports_outdated,
    /// Reports from an ended incarnation of a worker.
    reports_ended,
    /// Reports that claimed to be from the future.
    reports_future,
    /// Reports of other nodes dropped because their age could not be known.
    reports_unaged,
    /// Removals of workers that were first reported to this node.
    removals_started,
    /// Reports of workers that were not acknowledged, since no majority of the voters was in contact.
    reports_unacknowledged,
    /// Leases won.
    leases_won,
    /// Sets of voters taken over after a time-out, with nobody to take over from.
    takeovers_by_timeout,
    /// Lease requests that another core rejected.
    leases_rejected,
    /// Messages of a former lease holder that a newer epoch fenced off.
    messages_fenced,
    /// Slices granted as a lease holder.
    slices_granted,
    /// Slice requests answered with a spent window.
    windows_spent,
    /// Recalls sent for idle slices.
    slices_recalled,
    /// Shares of a rate that grew, as a holder.
    shares_grown,
    /// Shares of a rate that shrank, as a holder.
    shares_shrunk,
    /// Shares of a rate renewed unchanged, as a holder.
    shares_renewed,
    /// Requests for shares that this node sent.
    share_requests,
    /// Requests for loans that this node sent to standbys.
    loan_requests,
    /// Units that this node lent as a standby.
    units_lent_as_standby,
    /// Requests for shares that timed out.
    share_requests_timed_out,
    /// Calls of operators forwarded to a core.
    forwarded,
    /// Changes of voters proposed here without an operator.
    voter_changes_proposed,
    /// Bootstrap votes that did not agree.
    bootstrap_split,
}
