use crate::front::answer::Answer;
use crate::front::call::{Call, Matched, Read};
use crate::hall::Counts;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use seating::base::hash64;
use seating::config::{Kind, Match};
use sonic_rs::{JsonValueTrait, LazyValue};
use std::time::Duration;
use viz::{Method, StatusCode};

const SLOW: Duration = Duration::from_secs(10);

/// Reads the body up to the match's limit, and finds the prefix by its pointer.
pub async fn read(mut c: Call<Matched>) -> Result<Call<Read>, Answer> {
    let most = c.st.who.m.max_body;
    let body = std::mem::take(&mut c.st.body);
    let r = take(body, most).await.and_then(|b| {
        let h = prefix(&c.method, &c.path, c.query.as_deref(), &b, &c.st.who.m)?;
        Ok((b, h))
    });
    match r {
        Ok((body, h)) => {
            let hash = h ^ hash64(c.st.who.m.name.as_bytes());
            Ok(c.with(|s| Read { who: s.who, body, hash }))
        }
        Err(a) => {
            Counts::add(&c.hall.counts.refused_body);
            Err(a)
        }
    }
}

async fn take(b: viz::Body, most: usize) -> Result<Bytes, Answer> {
    let mut s = b;
    let mut out = BytesMut::new();
    loop {
        match tokio::time::timeout(SLOW, s.next()).await {
            Err(_) => {
                return Err(Answer::new(
                    StatusCode::REQUEST_TIMEOUT,
                    "slow_body",
                    "send the body without pauses of 10 s",
                ));
            }
            Ok(None) => return Ok(out.freeze()),
            Ok(Some(Err(_))) => {
                return Err(Answer::new(StatusCode::BAD_REQUEST, "body", "the body broke off; send it whole"));
            }
            Ok(Some(Ok(f))) => {
                let d: Bytes = f;
                if out.len() + d.len() > most {
                    let t = format!("send at most {most} bytes");
                    return Err(Answer::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large", &t));
                }
                out.extend_from_slice(&d);
            }
        }
    }
}

fn prefix(me: &Method, path: &str, q: Option<&str>, b: &Bytes, m: &Match) -> Result<u64, Answer> {
    if b.is_empty() && (me == Method::GET || m.kind == Kind::Lookup) {
        return Ok(hash64(format!("{path}?{}", q.unwrap_or("")).as_bytes()));
    }
    let bad = |why: &str| Answer::new(StatusCode::BAD_REQUEST, "body", why);
    sonic_rs::from_slice::<LazyValue>(b).map_err(|_| bad("send a body of valid JSON"))?;
    match sonic_rs::get_from_slice(b, &m.prompt) {
        Ok(v) => match v.as_str() {
            Some(s) => {
                let end = s.char_indices().nth(m.prefix).map_or(s.len(), |x| x.0);
                Ok(hash64(&s.as_bytes()[..end]))
            }
            None => Err(bad(&format!("the prompt at /{} must be a text", m.prompt.join("/")))),
        },
        Err(_) if m.kind == Kind::Lookup => Ok(hash64(b)),
        Err(_) => Err(bad(&format!("the prompt at /{} is missing", m.prompt.join("/")))),
    }
}
