use crate::front::answer::Answer;
use crate::front::call::{Call, Heard, Keyed};
use crate::hall::{Counts, lookup};
use seating::base::{SEC, sha_hex};
use seating::cache::Ttl;
use viz::{StatusCode, header};

pub fn unknown() -> Answer {
    Answer::new(StatusCode::UNAUTHORIZED, "key", "send a tenant key that is in force as: Authorization: Bearer KEY")
}

pub async fn key(c: Call<Heard>) -> Result<Call<Keyed>, Answer> {
    let k = c
        .heads
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|s| s.strip_prefix("Bearer "))
        .map(str::trim)
        .filter(|s| !s.is_empty() && s.len() <= 512);
    let Some(k) = k else {
        Counts::add(&c.hall.counts.refused_key);
        return Err(unknown());
    };
    let k = sha_hex(k.as_bytes());
    let f = lookup(&c.hall, &c.view, &k, |v| Ok((v.plan.key(&k).cloned(), Ttl::Usual))).await;
    match f {
        Ok(f) => match f.val {
            Some(tenant) => Ok(c.with(|s| Keyed { body: s.body, key: k, tenant })),
            None => {
                Counts::add(&c.hall.counts.refused_key);
                Err(unknown())
            }
        },
        Err(e) => Err(Answer::new(StatusCode::SERVICE_UNAVAILABLE, "lookup", &e.to_string()).back(SEC)),
    }
}
