use super::unit;
use crate::base::{SEC, hash64};
use crate::call::answer::Answer;
use crate::call::floor::Cx;
use crate::call::io::{Bad, Head, Out};
use crate::call::progress::{Go, Halt};
use crate::call::refusals::Reason;
use crate::call::state::{At, Call, Matched, Read, Tries};
use crate::config::{Kind, Match};
use crate::place::Ask;
use crate::tries::Ran;
use bytes::Bytes;
use sonic_rs::{JsonValueTrait, LazyValue};
use std::sync::Arc;

/// Takes the body in, and finds the prefix by its pointer.
pub fn read(c: Call<Matched>, b: Result<Bytes, Bad>, cx: &mut Cx, out: &mut Out) -> Go<At> {
    let m = &c.state.who.m;
    let size = b.as_ref().map_or(0, Bytes::len);
    let r = b.map_err(|e| bad(e, m)).and_then(|b| prefix(c.n, &c.head, &b, m));
    let hash = match r {
        Ok(h) => h ^ hash64(m.name.as_bytes()),
        Err(a) => return Err(Halt::Say(a)),
    };
    let tries = Tries { skip: Vec::new(), full: Vec::new(), sent: 0, anew: false, ran: Ran::No, used: false };
    let ask = m.parts.then(|| Arc::new(ask(&c, size, cx)));
    let units = c.state.who.tenant.measure.units(c.head.tokens);
    unit::take(c.with(|s| Read { who: s.who, hash, ask, tries, units }), cx, out)
}

/// A piece of a stream has some bytes of its own for each token.
const OUT: u32 = 12;

fn ask(c: &Call<Matched>, size: usize, cx: &Cx) -> Ask {
    let (h, w) = (&c.head, &c.state.who);
    Ask {
        route: hash64(w.m.name.as_bytes()),
        parts: h.parts.iter().copied().collect(),
        out: h.tokens.1,
        aim: if w.m.aim > 0 { w.m.aim } else { SEC / 2 },
        gap: w.m.gap,
        left: w.end.saturating_sub(cx.now).min(w.m.first),
        urgency: w.urgency().unwrap_or(5),
        bytes: u32::try_from(size).unwrap_or(u32::MAX).saturating_add(h.tokens.1.saturating_mul(OUT)),
    }
}

fn bad(e: Bad, m: &Match) -> Answer {
    match e {
        Bad::Slow => Answer::new(Reason::SlowBody, "send the body without pauses of 10 s"),
        Bad::Broke => Answer::new(Reason::Body, "the body broke off; send it whole"),
        Bad::Large => Answer::new(Reason::TooLarge, &format!("send at most {} bytes", m.max_body)),
        Bad::NoRoom => Answer::new(Reason::Crowded, "too many bodies are held here at once; come back then").back(SEC),
    }
}

fn prefix(n: u64, h: &Head, b: &Bytes, m: &Match) -> Result<u64, Answer> {
    if m.parts {
        // The last part is the call's own.
        let own = h.parts.len().saturating_sub(1);
        if own == 0 {
            return Ok(hash64(&n.to_le_bytes()));
        }
        let k: Vec<u8> = h.parts[..own].iter().flat_map(|p| p.0.to_le_bytes()).collect();
        return Ok(hash64(&k));
    }
    if b.is_empty() && (h.method == "GET" || m.kind == Kind::Lookup) {
        return Ok(hash64(format!("{}?{}", h.path, h.query.as_deref().unwrap_or("")).as_bytes()));
    }
    let bad = |why: &str| Answer::new(Reason::Body, why);
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
