//! The boundaries of a settlement in message mode and in session mode, each turned into the other.
//!
//! Message mode: each message carries `settlement` and `position`, and the last one `of`, beside `dest` in
//! `X-Addressing`. Session mode: the first message on a connection names the settlement, with a `position`
//! only where it goes on from an earlier session; the order on the connection is the position; `Connection:
//! close` on the last message, or an orderly end after the last answer, is the closing. A connection that
//! breaks closes nothing.

use super::{At, Error};
use std::collections::BTreeMap;

/// The longest name of a settlement, as for ids and keys.
pub const NAME_MAX: usize = 256;

/// What one message says of its settlement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mark {
    pub settlement: String,
    /// `None`: the connection says it.
    pub position: Option<u64>,
    /// The number of all.
    pub of: Option<u64>,
}

/// What an `X-Addressing` says of a settlement; `None` where it names none. `dest` is the front's affair.
///
/// # Errors
/// A field comes twice, is malformed, or stands there without its settlement.
pub fn read(tenant: &str, addressing: &str) -> Result<Option<Mark>, Error> {
    let mut fields: BTreeMap<&str, &str> = BTreeMap::new();
    let wrong = |settlement: &str, field: &str| Error::Field {
        at: At { tenant: tenant.into(), settlement: settlement.into(), position: 0 },
        field: field.into(),
    };
    for part in addressing.split([',', ';']) {
        let Some((name, value)) = part.trim().split_once('=') else { continue };
        let name = name.trim();
        if ["settlement", "position", "of"].contains(&name) && fields.insert(name, value.trim()).is_some() {
            return Err(wrong("", name));
        }
    }
    let Some(settlement) = fields.get("settlement") else {
        return match fields.keys().next() {
            Some(_) => Err(wrong("", "settlement")),
            None => Ok(None),
        };
    };
    if !is_name(settlement) {
        return Err(wrong("", "settlement"));
    }
    let number = |field: &str| match fields.get(field) {
        None => Ok(None),
        Some(text) if text.bytes().all(|b| b.is_ascii_digit()) => {
            text.parse().map(Some).map_err(|_| wrong(settlement, field))
        }
        Some(_) => Err(wrong(settlement, field)),
    };
    let mark = Mark { settlement: settlement.to_string(), position: number("position")?, of: number("of")? };
    let at = |position| At { tenant: tenant.into(), settlement: mark.settlement.clone(), position };
    match (mark.position, mark.of) {
        (Some(0), _) | (_, Some(0)) => Err(Error::Zero(at(0))),
        (Some(position), Some(of)) if position > of => Err(Error::Beyond { at: at(position), of }),
        _ => Ok(Some(mark)),
    }
}

/// A name that stands in a field as it is.
pub fn is_name(text: &str) -> bool {
    let sound = |b: u8| b.is_ascii_graphic() && !b",;=".contains(&b);
    !text.is_empty() && text.len() <= NAME_MAX && text.bytes().all(sound)
}

/// The value of `X-Addressing` that says this.
pub fn write(dest: u64, mark: &Mark) -> String {
    let mut text = format!("dest={dest},settlement={}", mark.settlement);
    for (name, value) in [("position", mark.position), ("of", mark.of)] {
        if let Some(value) = value {
            text.push_str(&format!(",{name}={value}"));
        }
    }
    text
}

/// A connection in session mode: gives each message on it its mark.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FromSession {
    tenant: String,
    settlement: Option<String>,
    /// The position of the latest message.
    position: u64,
    is_closed: bool,
}

impl FromSession {
    pub fn new(tenant: &str) -> Self {
        FromSession { tenant: tenant.into(), ..FromSession::default() }
    }

    fn at(&self, position: u64) -> At {
        let settlement = self.settlement.clone().unwrap_or_default();
        At { tenant: self.tenant.clone(), settlement, position }
    }

    /// The next message; `named`: what it says itself; `is_last`: it asks for the end of the connection.
    ///
    /// # Errors
    /// It can't belong to this session; the session is as it was.
    pub fn message(&mut self, named: Option<&Mark>, is_last: bool) -> Result<Mark, Error> {
        if self.is_closed {
            return Err(Error::AfterClosing(self.at(self.position + 1)));
        }
        let settlement = match (&self.settlement, named) {
            (None, None) => return Err(Error::NotOpened(self.at(0))),
            (None, Some(mark)) => mark.settlement.clone(),
            (Some(open), Some(mark)) if *open != mark.settlement => {
                let at = At { settlement: mark.settlement.clone(), ..self.at(mark.position.unwrap_or(0)) };
                return Err(Error::OtherOpen { at, open: open.clone() });
            }
            (Some(open), _) => open.clone(),
        };
        let told = named.and_then(|mark| mark.position);
        let position = match told {
            Some(0) => return Err(Error::Zero(self.at(0))),
            // Only the first message may say where it goes on.
            Some(told) if self.settlement.is_some() && told != self.position + 1 => {
                return Err(Error::Gap { at: self.at(self.position + 1), of: told });
            }
            told => told.unwrap_or(self.position + 1),
        };
        let of = named.and_then(|mark| mark.of);
        match of {
            Some(of) if position > of => return Err(Error::Beyond { at: self.at(position), of }),
            Some(of) if is_last && of != position => {
                return Err(Error::TwoCounts { at: self.at(position), of, other: position });
            }
            _ => {}
        }
        self.settlement = Some(settlement.clone());
        (self.position, self.is_closed) = (position, is_last);
        Ok(Mark { settlement, position: Some(position), of: if is_last { Some(position) } else { of } })
    }

    /// The connection ended in order after its last answer: the number of all, if that says something new.
    pub fn ended(&mut self) -> Option<(String, u64)> {
        let settlement = self.settlement.clone().filter(|_| !self.is_closed && self.position > 0)?;
        self.is_closed = true;
        Some((settlement, self.position))
    }
}

/// What is done on a partner's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// On a new connection: the first message names the settlement, and its position where it is not the
    /// first.
    Open(Mark),
    /// The message of this position goes next.
    Carry(u64),
    /// All are answered: end the connection in order.
    Close,
}

/// Messages with their marks, in any order, turned into the steps of one session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ToSession {
    at: At,
    next: u64,
    of: Option<u64>,
    is_open: bool,
    is_closed: bool,
    /// Id and print of each position that came.
    came: BTreeMap<u64, (String, u64)>,
}

impl ToSession {
    /// A session that begins with this position; 1, save where an earlier session was lost.
    pub fn new(tenant: &str, settlement: &str, from: u64) -> Self {
        let at = At { tenant: tenant.into(), settlement: settlement.into(), position: 0 };
        ToSession { at, next: from, of: None, is_open: false, is_closed: false, came: BTreeMap::new() }
    }

    fn at(&self, position: u64) -> At {
        At { position, ..self.at.clone() }
    }

    /// Takes a message; says what is done on the connection now, in order.
    ///
    /// # Errors
    /// It contradicts what came before; nothing has changed.
    pub fn message(
        &mut self,
        position: u64,
        of: Option<u64>,
        id: &str,
        print: u64,
    ) -> Result<Vec<Step>, Error> {
        check(&self.at(position), of, self.of, self.came.keys().next_back().copied())?;
        match self.came.get(&position) {
            Some((first, of_first)) if first != id || *of_first != print => {
                return Err(Error::PositionTwice { at: self.at(position), first: first.clone() });
            }
            Some(_) => {}
            None => {
                self.came.insert(position, (id.into(), print));
            }
        }
        self.of = self.of.or(of);
        Ok(self.steps())
    }

    /// The number of all, on its own: every position has to be there.
    ///
    /// # Errors
    /// It contradicts what came before, or a position is missing; nothing has changed.
    pub fn close(&mut self, of: u64) -> Result<Vec<Step>, Error> {
        check(&self.at(of), Some(of), self.of, self.came.keys().next_back().copied())?;
        if let Some(missing) = (self.next..=of).find(|position| !self.came.contains_key(position)) {
            return Err(Error::Gap { at: self.at(missing), of });
        }
        self.of = Some(of);
        Ok(self.steps())
    }

    fn steps(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        while self.came.contains_key(&self.next) {
            if !self.is_open {
                self.is_open = true;
                let position = (self.next > 1).then_some(self.next);
                steps.push(Step::Open(Mark { settlement: self.at.settlement.clone(), position, of: None }));
            }
            steps.push(Step::Carry(self.next));
            self.next += 1;
        }
        if self.of == Some(self.next - 1) && self.is_open && !self.is_closed {
            self.is_closed = true;
            steps.push(Step::Close);
        }
        steps
    }
}

/// Whether a position and a count can be, beside the count and the greatest position of before.
///
/// # Errors
/// They can't.
pub fn check(at: &At, of: Option<u64>, known: Option<u64>, greatest: Option<u64>) -> Result<(), Error> {
    if at.position == 0 || of == Some(0) {
        return Err(Error::Zero(at.clone()));
    }
    match (known, of) {
        (Some(known), Some(of)) if known != of => {
            return Err(Error::TwoCounts { at: at.clone(), of: known, other: of });
        }
        _ => {}
    }
    match known.or(of) {
        Some(of) if at.position > of => Err(Error::Beyond { at: at.clone(), of }),
        Some(of) => match greatest.filter(|greatest| *greatest > of) {
            Some(greatest) => Err(Error::Beyond { at: At { position: greatest, ..at.clone() }, of }),
            None => Ok(()),
        },
        None => Ok(()),
    }
}
