use crate::front::answer::Answer;
use crate::front::call::{Call, Granted, Read};
use crate::front::filter::still;
use crate::hall::{Counts, Spent, lookup, unit};
use seating::base::SEC;
use seating::cache::Ttl;
use viz::StatusCode;

pub async fn quota(c: Call<Read>) -> Result<Call<Granted>, Answer> {
    let t = c.st.who.tenant.name.clone();
    let q = lookup(&c.hall, &c.view, &t, |v| Ok((v.plan.tenants.get(&t).map(|t| t.quota), Ttl::Usual))).await;
    if !matches!(&q, Ok(f) if f.val.is_some()) {
        return Err(Answer::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "lookup",
            "the tenant's quota is not known here; try again",
        )
        .back(SEC));
    }
    let due = c.at + c.st.who.m.wait;
    match unit(&c.hall, &t, due).await {
        Ok(unit) => {
            still(&c.hall, &c.st.who.key)?;
            Ok(c.with(|s| Granted { who: s.who, body: s.body, hash: s.hash, unit }))
        }
        Err(Spent::Window(left)) => {
            Counts::add(&c.hall.counts.refused_quota);
            Err(Answer::new(
                StatusCode::TOO_MANY_REQUESTS,
                "quota",
                "the tenant's quota is spent; come back in its next window",
            )
            .back(left))
        }
        Err(Spent::Unsettled) => {
            Counts::add(&c.hall.counts.refused_unsettled);
            Err(Answer::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "quota_unsettled",
                "nobody could say in time whether the quota has room; try again",
            )
            .back(SEC))
        }
    }
}
