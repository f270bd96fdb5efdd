use crate::front::answer::Answer;
use crate::front::call::{Call, Keyed, Matched, Who};
use crate::hall::Counts;
use viz::StatusCode;

pub fn pick(c: Call<Keyed>) -> Result<Call<Matched>, Answer> {
    let m = c
        .view
        .plan
        .find(c.method.as_str(), &c.path)
        .filter(|m| c.st.tenant.matches.as_ref().is_none_or(|v| v.contains(&m.name)))
        .cloned();
    match m {
        Some(m) => Ok(c.with(|s| Matched { body: s.body, who: Who { key: s.key, tenant: s.tenant, m } })),
        None => {
            Counts::add(&c.hall.counts.refused_match);
            Err(Answer::new(
                StatusCode::NOT_FOUND,
                "no_match",
                "no match of your tenant has this method and path; ask the operator which there are",
            ))
        }
    }
}
