//! The boundaries of a settlement in message mode and in session mode, each converted into the other's.
//!
//! Message mode: each message carries `settlement` and `position`, and the last one `of` (the number of messages),
//! beside `dest` in the header `X-Addressing`. Session mode: the first message on a connection names the settlement,
//! with a `position` only where it continues an earlier session; the order on the connection is the position;
//! `Connection: close` on the last message, or an orderly end after the last answer, is the closing. A connection that
//! breaks closes nothing.

use super::error::SettlementError;
use super::model::PositionRef;
use std::collections::BTreeMap;

/// The longest name of a settlement in bytes, as for ids and keys.
pub const NAME_MAX: usize = 256;

/// What one message's `X-Addressing` says of its settlement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettlementHeader {
    /// The settlement's name.
    pub settlement: String,
    /// The message's position; `None`: the connection's order gives it.
    pub position: Option<u64>,
    /// The number of messages, where it is given.
    pub total: Option<u64>,
}

/// Parses what `X-Addressing` says of a settlement; `None` where it names none. `dest` is parsed by the server.
///
/// # Errors
/// A field is repeated, malformed, or without its settlement.
pub fn parse_header(tenant: &str, addressing: &str) -> Result<Option<SettlementHeader>, SettlementError> {
    let mut fields: BTreeMap<&str, &str> = BTreeMap::new();
    let wrong = |settlement: &str, field: &str| SettlementError::Field {
        at: PositionRef { tenant: tenant.into(), settlement: settlement.into(), position: 0 },
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
    let header = SettlementHeader {
        settlement: settlement.to_string(),
        position: number("position")?,
        total: number("of")?,
    };
    let at =
        |position| PositionRef { tenant: tenant.into(), settlement: header.settlement.clone(), position };
    match (header.position, header.total) {
        (Some(0), _) | (_, Some(0)) => Err(SettlementError::Zero(at(0))),
        (Some(position), Some(total)) if position > total => {
            Err(SettlementError::Beyond { at: at(position), total })
        }
        _ => Ok(Some(header)),
    }
}

/// Whether the text can be a settlement's name, which is written to the header as it is.
pub fn is_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_graphic() && !b",;=".contains(&b);
    !text.is_empty() && text.len() <= NAME_MAX && text.bytes().all(is_allowed)
}

/// The value of `X-Addressing` for this destination and settlement.
pub fn format_header(dest: u64, header: &SettlementHeader) -> String {
    let mut text = format!("dest={dest},settlement={}", header.settlement);
    for (name, value) in [("position", header.position), ("of", header.total)] {
        if let Some(value) = value {
            text.push_str(&format!(",{name}={value}"));
        }
    }
    text
}

/// A client's connection in session mode: gives each message on it its header in message mode.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FromSession {
    tenant: String,
    settlement: Option<String>,
    /// The position of the latest message.
    position: u64,
    is_closed: bool,
}

impl FromSession {
    /// A new connection of this tenant.
    pub fn new(tenant: &str) -> Self {
        FromSession { tenant: tenant.into(), ..FromSession::default() }
    }

    fn at(&self, position: u64) -> PositionRef {
        let settlement = self.settlement.clone().unwrap_or_default();
        PositionRef { tenant: self.tenant.clone(), settlement, position }
    }

    /// The next message's header. `named`: its own; `is_last`: it asks to close the connection.
    ///
    /// # Errors
    /// It can't belong to this session, which has not changed.
    pub fn message(
        &mut self,
        named: Option<&SettlementHeader>,
        is_last: bool,
    ) -> Result<SettlementHeader, SettlementError> {
        if self.is_closed {
            return Err(SettlementError::AfterClosing(self.at(self.position + 1)));
        }
        let settlement = match (&self.settlement, named) {
            (None, None) => return Err(SettlementError::NotOpened(self.at(0))),
            (None, Some(header)) => header.settlement.clone(),
            (Some(open), Some(header)) if *open != header.settlement => {
                let at = PositionRef {
                    settlement: header.settlement.clone(),
                    ..self.at(header.position.unwrap_or(0))
                };
                return Err(SettlementError::OtherOpen { at, open: open.clone() });
            }
            (Some(open), _) => open.clone(),
        };
        let named_position = named.and_then(|header| header.position);
        let position = match named_position {
            Some(0) => return Err(SettlementError::Zero(self.at(0))),
            // Only the first message may say where it continues.
            Some(named) if self.settlement.is_some() && named != self.position + 1 => {
                return Err(SettlementError::Gap { at: self.at(self.position + 1), total: named });
            }
            _ => named_position.unwrap_or(self.position + 1),
        };
        let total = named.and_then(|header| header.total);
        match total {
            Some(total) if position > total => {
                return Err(SettlementError::Beyond { at: self.at(position), total });
            }
            Some(total) if is_last && total != position => {
                return Err(SettlementError::TwoCounts { at: self.at(position), total, other: position });
            }
            _ => {}
        }
        self.settlement = Some(settlement.clone());
        (self.position, self.is_closed) = (position, is_last);
        Ok(SettlementHeader {
            settlement,
            position: Some(position),
            total: if is_last { Some(position) } else { total },
        })
    }

    /// The connection ended in order after its last answer: the settlement and its number of messages, unless that was
    /// given before.
    pub fn ended(&mut self) -> Option<(String, u64)> {
        let settlement = self.settlement.clone().filter(|_| !self.is_closed && self.position > 0)?;
        self.is_closed = true;
        Some((settlement, self.position))
    }
}

/// What is done next on a partner's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionStep {
    /// On a new connection: the first message names the settlement, and its position where it is not the
    /// first.
    Open(SettlementHeader),
    /// Send the message of this position.
    Carry(u64),
    /// Everything is answered: end the connection in order.
    Close,
}

/// A message that was accepted at a position.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AcceptedPosition {
    message_id: String,
    /// Of the body.
    checksum: u64,
}

/// Messages of message mode, in any order, converted into the steps of one session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ToSession {
    at: PositionRef,
    next: u64,
    total: Option<u64>,
    is_open: bool,
    is_closed: bool,
    /// By position.
    accepted: BTreeMap<u64, AcceptedPosition>,
}

impl ToSession {
    /// A session that begins with this position: 1, except where an earlier session was lost.
    pub fn new(tenant: &str, settlement: &str, from: u64) -> Self {
        let at = PositionRef { tenant: tenant.into(), settlement: settlement.into(), position: 0 };
        ToSession { at, next: from, total: None, is_open: false, is_closed: false, accepted: BTreeMap::new() }
    }

    fn at(&self, position: u64) -> PositionRef {
        PositionRef { position, ..self.at.clone() }
    }

    /// Accepts a message; returns what is done on the connection now, in order.
    ///
    /// # Errors
    /// It contradicts an earlier message; nothing has changed.
    pub fn message(
        &mut self,
        position: u64,
        total: Option<u64>,
        id: &str,
        checksum: u64,
    ) -> Result<Vec<SessionStep>, SettlementError> {
        check(&self.at(position), total, self.total, self.accepted.keys().next_back().copied())?;
        match self.accepted.get(&position) {
            Some(known) if known.message_id != id || known.checksum != checksum => {
                let first = known.message_id.clone();
                return Err(SettlementError::PositionTwice { at: self.at(position), first });
            }
            Some(_) => {}
            None => {
                self.accepted.insert(position, AcceptedPosition { message_id: id.into(), checksum });
            }
        }
        self.total = self.total.or(total);
        Ok(self.steps())
    }

    /// The closing with the number of messages: every position has to have been accepted.
    ///
    /// # Errors
    /// It contradicts an earlier message, or a position is missing; nothing has changed.
    pub fn close(&mut self, total: u64) -> Result<Vec<SessionStep>, SettlementError> {
        check(&self.at(total), Some(total), self.total, self.accepted.keys().next_back().copied())?;
        if let Some(missing) = (self.next..=total).find(|position| !self.accepted.contains_key(position)) {
            return Err(SettlementError::Gap { at: self.at(missing), total });
        }
        self.total = Some(total);
        Ok(self.steps())
    }

    fn steps(&mut self) -> Vec<SessionStep> {
        let mut steps = Vec::new();
        while self.accepted.contains_key(&self.next) {
            if !self.is_open {
                self.is_open = true;
                let position = (self.next > 1).then_some(self.next);
                steps.push(SessionStep::Open(SettlementHeader {
                    settlement: self.at.settlement.clone(),
                    position,
                    total: None,
                }));
            }
            steps.push(SessionStep::Carry(self.next));
            self.next += 1;
        }
        if self.total == Some(self.next - 1) && self.is_open && !self.is_closed {
            self.is_closed = true;
            steps.push(SessionStep::Close);
        }
        steps
    }
}

/// Checks a position and a number of messages against the number that is `known` and the `greatest` position so far.
///
/// # Errors
/// They contradict these, or are 0.
pub fn check(
    at: &PositionRef,
    total: Option<u64>,
    known: Option<u64>,
    greatest: Option<u64>,
) -> Result<(), SettlementError> {
    if at.position == 0 || total == Some(0) {
        return Err(SettlementError::Zero(at.clone()));
    }
    match (known, total) {
        (Some(known), Some(total)) if known != total => {
            return Err(SettlementError::TwoCounts { at: at.clone(), total: known, other: total });
        }
        _ => {}
    }
    match known.or(total) {
        Some(total) if at.position > total => Err(SettlementError::Beyond { at: at.clone(), total }),
        Some(total) => match greatest.filter(|greatest| *greatest > total) {
            Some(greatest) => {
                Err(SettlementError::Beyond { at: PositionRef { position: greatest, ..at.clone() }, total })
            }
            None => Ok(()),
        },
        None => Ok(()),
    }
}
