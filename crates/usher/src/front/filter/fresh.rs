use crate::front::answer::Answer;
use crate::front::call::Call;
use crate::hall::{Counts, Hall};
use seating::base::SEC;
use viz::StatusCode;

fn stale() -> Answer {
    Answer::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "stale",
        "this node can't tell whether its configuration is the newest; come back or use another node",
    )
    .back(2 * SEC)
}

/// A node that may have missed a version admits nothing.
pub fn fresh<S>(c: Call<S>) -> Result<Call<S>, Answer> {
    if c.hall.fresh(&c.view) {
        return Ok(c);
    }
    Counts::add(&c.hall.counts.refused_stale);
    Err(stale())
}

/// Asked again before each try: is the node still fresh and the key still good?
pub fn still(h: &Hall, key: &str) -> Result<(), Answer> {
    let v = h.view.load();
    if !h.fresh(&v) {
        Counts::add(&h.counts.refused_stale);
        return Err(stale());
    }
    if v.plan.key(key).is_none() {
        Counts::add(&h.counts.refused_key);
        return Err(super::key::unknown());
    }
    Ok(())
}
