//! Conversion of the boundaries of a settlement between message mode and session mode.
//!
//! In message mode the header `X-Addressing` of each message has `settlement` and `position` next to `dest`, and
//! that of the last message also has `of`, the number of messages. In session mode the first message on a
//! connection names the settlement, with a `position` only if it continues an earlier session. The positions of the
//! following messages result from their order on the connection. The closing is `Connection: close` on the last
//! message, or an orderly end of the connection after the last answer. A connection that is lost does not close the
//! settlement.

use super::error::SettlementError;
use super::model::PositionRef;
use std::collections::BTreeMap;

/// Maximum length of a settlement name in bytes; the same limit applies to message ids and idempotency keys.
pub const NAME_MAX: usize = 256;

/// The fields of the header `X-Addressing` that concern the settlement of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettlementHeader {
    /// The name of the settlement: the field `settlement`.
    pub settlement: String,
    /// The field `position`; `None` if the order on the connection determines the position.
    pub position: Option<u64>,
    /// The field `of`, the number of messages, if it is present.
    pub total: Option<u64>,
}

/// Parses the settlement fields of `X-Addressing`; returns `None` if the header has none of them. The server parses
/// `dest`.
///
/// # Errors
/// A field is repeated or malformed, or the field `settlement` is missing.
pub fn parse_header(tenant: &str, addressing: &str) -> Result<Option<SettlementHeader>, SettlementError> {
    let mut fields: BTreeMap<&str, &str> = BTreeMap::new();
    let field_error = |settlement: &str, field: &str| SettlementError::Field {
        position_ref: PositionRef { tenant: tenant.into(), settlement: settlement.into(), position: 0 },
        field: field.into(),
    };
    for part in addressing.split([',', ';']) {
        let Some((name, value)) = part.trim().split_once('=') else { continue };
        let name = name.trim();
        if ["settlement", "position", "of"].contains(&name) && fields.insert(name, value.trim()).is_some() {
            return Err(field_error("", name));
        }
    }
    let Some(settlement) = fields.get("settlement") else {
        return match fields.keys().next() {
            Some(_) => Err(field_error("", "settlement")),
            None => Ok(None),
        };
    };
    if !is_name(settlement) {
        return Err(field_error("", "settlement"));
    }
    let number = |field: &str| match fields.get(field) {
        None => Ok(None),
        Some(text) if text.bytes().all(|b| b.is_ascii_digit()) => {
            text.parse().map(Some).map_err(|_| field_error(settlement, field))
        }
        Some(_) => Err(field_error(settlement, field)),
    };
    let header = SettlementHeader {
        settlement: settlement.to_string(),
        position: number("position")?,
        total: number("of")?,
    };
    let position_ref =
        |position| PositionRef { tenant: tenant.into(), settlement: header.settlement.clone(), position };
    match (header.position, header.total) {
        (Some(0), _) | (_, Some(0)) => Err(SettlementError::ZeroPosition(position_ref(0))),
        (Some(position), Some(total)) if position > total => {
            Err(SettlementError::BeyondTotal { position_ref: position_ref(position), total })
        }
        _ => Ok(Some(header)),
    }
}

/// Returns whether the text is a valid settlement name: it is written to the header without escaping.
pub fn is_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_graphic() && !b",;=".contains(&b);
    !text.is_empty() && text.len() <= NAME_MAX && text.bytes().all(is_allowed)
}

/// Formats the value of `X-Addressing` for this destination and settlement.
pub fn format_header(dest: u64, header: &SettlementHeader) -> String {
    let mut text = format!("dest={dest},settlement={}", header.settlement);
    for (name, value) in [("position", header.position), ("of", header.total)] {
        if let Some(value) = value {
            text.push_str(&format!(",{name}={value}"));
        }
    }
    text
}

/// Converts the messages on a client's connection in session mode into message mode: each gets its own header.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FromSession {
    tenant: String,
    settlement: Option<String>,
    /// The position of the latest message; 0 before the first message, unless that gives another position.
    position: u64,
    is_closed: bool,
}

impl FromSession {
    /// Creates the state of a new connection of this tenant.
    pub fn new(tenant: &str) -> Self {
        FromSession { tenant: tenant.into(), ..FromSession::default() }
    }

    fn position_ref(&self, position: u64) -> PositionRef {
        let settlement = self.settlement.clone().unwrap_or_default();
        PositionRef { tenant: self.tenant.clone(), settlement, position }
    }

    /// Returns the header of the next message for message mode. `header` is the header that the client sent, and
    /// `is_last` is true if the message has `Connection: close`.
    ///
    /// # Errors
    /// The message cannot belong to this session. The session is unchanged.
    pub fn message(
        &mut self,
        header: Option<&SettlementHeader>,
        is_last: bool,
    ) -> Result<SettlementHeader, SettlementError> {
        if self.is_closed {
            return Err(SettlementError::AfterClosing(self.position_ref(self.position + 1)));
        }
        let settlement = match (&self.settlement, header) {
            (None, None) => return Err(SettlementError::NotOpened(self.position_ref(0))),
            (None, Some(header)) => header.settlement.clone(),
            (Some(open), Some(header)) if *open != header.settlement => {
                let position_ref = PositionRef {
                    settlement: header.settlement.clone(),
                    ..self.position_ref(header.position.unwrap_or(0))
                };
                return Err(SettlementError::OtherOpen { position_ref, open_settlement: open.clone() });
            }
            (Some(open), _) => open.clone(),
        };
        let header_position = header.and_then(|header| header.position);
        let position = match header_position {
            Some(0) => return Err(SettlementError::ZeroPosition(self.position_ref(0))),
            // Only the first message may give a position other than the next one.
            Some(header_position) if self.settlement.is_some() && header_position != self.position + 1 => {
                return Err(SettlementError::MissingPosition {
                    position_ref: self.position_ref(self.position + 1),
                    total: header_position,
                });
            }
            _ => header_position.unwrap_or(self.position + 1),
        };
        let total = header.and_then(|header| header.total);
        match total {
            Some(total) if position > total => {
                return Err(SettlementError::BeyondTotal {
                    position_ref: self.position_ref(position),
                    total,
                });
            }
            Some(total) if is_last && total != position => {
                return Err(SettlementError::TotalMismatch {
                    position_ref: self.position_ref(position),
                    total,
                    other_total: position,
                });
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

    /// The connection has ended in order after its last answer. Returns the name of the settlement and its number of
    /// messages for the closing; `None` if the settlement is already closed or no message arrived.
    pub fn ended(&mut self) -> Option<(String, u64)> {
        let settlement = self.settlement.clone().filter(|_| !self.is_closed && self.position > 0)?;
        self.is_closed = true;
        Some((settlement, self.position))
    }
}

/// The next action on the connection to a partner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionStep {
    /// Open a connection. Its first message names the settlement, and the position if the session does not begin with
    /// position 1.
    Open(SettlementHeader),
    /// Send the message of this position.
    Send(u64),
    /// Close the connection in order, once all messages are answered.
    Close,
}

/// Identifies the message that was accepted at a position.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AcceptedPosition {
    message_id: String,
    /// The checksum of the body.
    checksum: u64,
}

/// Converts messages in message mode, which arrive in any order, into the steps of one session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ToSession {
    settlement: PositionRef,
    next_position: u64,
    total: Option<u64>,
    is_open: bool,
    is_closed: bool,
    /// The accepted messages by position.
    accepted: BTreeMap<u64, AcceptedPosition>,
}

impl ToSession {
    /// Creates a session that begins with position `from`: 1, unless an earlier session was lost.
    pub fn new(tenant: &str, settlement: &str, from: u64) -> Self {
        let settlement = PositionRef { tenant: tenant.into(), settlement: settlement.into(), position: 0 };
        ToSession {
            settlement,
            next_position: from,
            total: None,
            is_open: false,
            is_closed: false,
            accepted: BTreeMap::new(),
        }
    }

    fn position_ref(&self, position: u64) -> PositionRef {
        PositionRef { position, ..self.settlement.clone() }
    }

    /// Accepts a message; returns the steps that can be taken now, in order.
    ///
    /// # Errors
    /// The message contradicts an earlier one. The session is unchanged.
    pub fn message(
        &mut self,
        position: u64,
        total: Option<u64>,
        id: &str,
        checksum: u64,
    ) -> Result<Vec<SessionStep>, SettlementError> {
        check_position(
            &self.position_ref(position),
            total,
            self.total,
            self.accepted.keys().next_back().copied(),
        )?;
        match self.accepted.get(&position) {
            Some(known) if known.message_id != id || known.checksum != checksum => {
                let first_id = known.message_id.clone();
                return Err(SettlementError::PositionConflict {
                    position_ref: self.position_ref(position),
                    first_id,
                });
            }
            Some(_) => {}
            None => {
                self.accepted.insert(position, AcceptedPosition { message_id: id.into(), checksum });
            }
        }
        self.total = self.total.or(total);
        Ok(self.steps())
    }

    /// Closes the session with the number of messages; every position up to it must have been accepted.
    ///
    /// # Errors
    /// The number contradicts an earlier message, or a position is missing. The session is unchanged.
    pub fn close(&mut self, total: u64) -> Result<Vec<SessionStep>, SettlementError> {
        check_position(
            &self.position_ref(total),
            Some(total),
            self.total,
            self.accepted.keys().next_back().copied(),
        )?;
        if let Some(missing) =
            (self.next_position..=total).find(|position| !self.accepted.contains_key(position))
        {
            return Err(SettlementError::MissingPosition { position_ref: self.position_ref(missing), total });
        }
        self.total = Some(total);
        Ok(self.steps())
    }

    fn steps(&mut self) -> Vec<SessionStep> {
        let mut steps = Vec::new();
        while self.accepted.contains_key(&self.next_position) {
            if !self.is_open {
                self.is_open = true;
                let position = (self.next_position > 1).then_some(self.next_position);
                steps.push(SessionStep::Open(SettlementHeader {
                    settlement: self.settlement.settlement.clone(),
                    position,
                    total: None,
                }));
            }
            steps.push(SessionStep::Send(self.next_position));
            self.next_position += 1;
        }
        if self.total == Some(self.next_position - 1) && self.is_open && !self.is_closed {
            self.is_closed = true;
            steps.push(SessionStep::Close);
        }
        steps
    }
}

/// Checks a position, and the number of messages where it is given, against the `known_total` of the settlement and
/// the `highest_position` submitted so far.
///
/// # Errors
/// The position or the number is 0, or contradicts `known_total` or `highest_position`.
pub fn check_position(
    position_ref: &PositionRef,
    total: Option<u64>,
    known_total: Option<u64>,
    highest_position: Option<u64>,
) -> Result<(), SettlementError> {
    if position_ref.position == 0 || total == Some(0) {
        return Err(SettlementError::ZeroPosition(position_ref.clone()));
    }
    match (known_total, total) {
        (Some(known_total), Some(total)) if known_total != total => {
            return Err(SettlementError::TotalMismatch {
                position_ref: position_ref.clone(),
                total: known_total,
                other_total: total,
            });
        }
        _ => {}
    }
    match known_total.or(total) {
        Some(total) if position_ref.position > total => {
            Err(SettlementError::BeyondTotal { position_ref: position_ref.clone(), total })
        }
        Some(total) => match highest_position.filter(|highest_position| *highest_position > total) {
            Some(highest_position) => Err(SettlementError::BeyondTotal {
                position_ref: PositionRef { position: highest_position, ..position_ref.clone() },
                total,
            }),
            None => Ok(()),
        },
        None => Ok(()),
    }
}
