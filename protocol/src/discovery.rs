//! Discovery's lists: whole in the configuration, and one after the other on a watch.

use quillmount_core::{Provider, ProviderList};
use serde::Deserialize;
use serde::de::IgnoredAny;
use spurshore_settings::state_of_name;

/// What is longer than this, with its indents, is no list of this platform.
const LIST_MAX: usize = 4 * 1024 * 1024;
/// So much more of a list that isn't whole yet shows that the watch lives. A list of some hundred providers is
/// less: bytes that trickle are no sign of life.
const PIECE: usize = 64 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    #[error("a list that can't be read: {0}")]
    Json(#[from] serde_json::Error),
    #[error("a list that begins with {0:?}, where an object should")]
    Start(char),
    #[error("provider {id}: {what}")]
    Entry { id: String, what: String },
    #[error("a list of more than {LIST_MAX} bytes")]
    TooLong,
}

#[derive(Deserialize)]
pub struct List {
    version: u64,
    #[serde(default)]
    full: bool,
    #[serde(default)]
    servers: Vec<Server>,
}

#[derive(Deserialize)]
struct Server {
    id: String,
    #[serde(default)]
    addr: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    cell: u64,
    state: String,
    #[serde(default)]
    weight: f64,
}

impl List {
    /// Each line of it, in its order.
    pub fn entries(self) -> impl Iterator<Item = Result<Provider, DiscoveryError>> {
        self.servers.into_iter().map(|s| {
            let entry = |what: String| DiscoveryError::Entry { id: s.id.clone(), what };
            let state = state_of_name(&s.state).map_err(entry)?;
            let addr = s.addr.as_deref().filter(|a| !a.is_empty()).map(str::parse).transpose();
            let addr = addr.map_err(|e| entry(format!("addr {:?}: {e}", s.addr)))?;
            Ok(Provider { addr, state, id: s.id, dest: s.cell, kind: s.kind, zone: s.zone, weight: s.weight })
        })
    }
}

impl TryFrom<List> for ProviderList {
    type Error = DiscoveryError;

    fn try_from(list: List) -> Result<Self, DiscoveryError> {
        let (version, full) = (list.version, list.full);
        Ok(ProviderList { version, full, providers: list.entries().collect::<Result<_, _>>()? })
    }
}

/// Where changes after a version are watched.
pub fn watch_path(after: u64) -> String {
    format!("/api/targets?watch=1&after={after}")
}

/// Puts a watch's chunks together into lists, each one JSON object, on one line or indented over many. An
/// empty line between two lists only says that the watch lives.
#[derive(Default)]
pub struct Lists {
    /// A list that has begun.
    rest: Vec<u8>,
}

/// What a chunk said.
#[derive(Debug, Default)]
pub struct Said {
    /// The lists that ended in it.
    pub lists: Vec<ProviderList>,
    /// The watch lives: a list is whole, or an empty line came where none had begun. A list that has begun is no
    /// sign of life: its rest may be missing for good; only one that goes on for long is, by the piece.
    pub lives: bool,
    /// What came behind those lists is none; nothing that follows can be read.
    pub end: Option<DiscoveryError>,
}

impl Lists {
    pub fn feed(&mut self, chunk: &[u8]) -> Said {
        let between = self.rest.is_empty() && !chunk.is_empty() && chunk.trim_ascii().is_empty();
        let mut said = Said { lists: Vec::new(), lives: between, end: None };
        let pieces = self.rest.len() / PIECE;
        self.rest.extend_from_slice(chunk);
        said.lives |= self.rest.len() / PIECE > pieces;
        said.end = self.read(chunk, &mut said.lists).err();
        said.lives |= !said.lists.is_empty();
        said
    }

    /// Reads what is whole by the last brace of `chunk`, which has come last.
    fn read(&mut self, chunk: &[u8], lists: &mut Vec<ProviderList>) -> Result<(), DiscoveryError> {
        // Only a brace ends a list; what is read ends in one, since a number that is cut reads as a wrong
        // one.
        if let Some(last) = chunk.iter().rposition(|byte| *byte == b'}') {
            let known = &self.rest[..=self.rest.len() - chunk.len() + last];
            let mut values = serde_json::Deserializer::from_slice(known).into_iter::<IgnoredAny>();
            let mut read = 0;
            loop {
                match values.next() {
                    Some(Ok(IgnoredAny)) => {
                        let end = values.byte_offset();
                        let list: List = serde_json::from_slice(&known[read..end])?;
                        lists.push(list.try_into()?);
                        read = end;
                    }
                    Some(Err(e)) if !e.is_eof() => return Err(e.into()),
                    _ => break,
                }
            }
            self.rest.drain(..read);
        }
        match self.rest.trim_ascii_start().first() {
            None => self.rest.clear(),
            Some(b'{') => {}
            Some(other) => return Err(DiscoveryError::Start(char::from(*other))),
        }
        if self.rest.len() > LIST_MAX {
            return Err(DiscoveryError::TooLong);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LINE: &str = concat!(
        r#"{"version":42,"full":true,"servers":[{"id":"s-\"{1}\"","addr":"10.1.0.18:7070","zone":"ü","kind":"m2","#,
        r#""cell":3,"state":"ready","weight":1.0,"started_ms":0},{"id":"s-2","cell":4,"state":"gone"}]}"#
    );

    /// The same over many lines, with empty ones among them.
    fn indented() -> String {
        let value: serde_json::Value = serde_json::from_str(LINE).unwrap();
        serde_json::to_string_pretty(&value).unwrap().replace("[\n", "[\n\n").replace('\n', "\r\n")
    }

    /// What is no error.
    fn fed(lists: &mut Lists, chunk: &[u8]) -> Said {
        let said = lists.feed(chunk);
        assert!(said.end.is_none(), "{:?}", said.end);
        said
    }

    fn read(text: &str, cuts: &[usize]) -> Vec<(u64, usize)> {
        let mut lists = Lists::default();
        let (mut all, mut from) = (Vec::new(), 0);
        for to in cuts.iter().copied().chain([text.len()]) {
            all.extend(fed(&mut lists, &text.as_bytes()[from..to]).lists);
            from = to;
        }
        assert!(lists.rest.is_empty(), "{:?}", String::from_utf8_lossy(&lists.rest));
        all.iter().map(|list| (list.version, list.providers.len())).collect()
    }

    #[test]
    fn a_list_is_read_on_one_line_and_indented_wherever_it_is_cut() {
        let next = r#"{"version":43,"servers":[]}"#;
        let said = [(42, 2), (43, 0), (42, 2)];
        let text = format!("\n\n{}\n\n{next}{LINE}\n \n", indented());
        assert_eq!(read(&text, &[]), said);
        assert_eq!(read(&text, &(1..text.len()).collect::<Vec<_>>()), said, "byte by byte");
        for cut in 1..text.len() {
            assert_eq!(read(&text, &[cut]), said, "cut at {cut}");
            let second = cut + (text.len() - cut) / 2;
            assert_eq!(read(&text, &[cut, second]), said, "cut at {cut} and {second}");
        }
    }

    /// It needs no line end behind it either.
    #[test]
    fn a_list_holds_as_soon_as_its_last_byte_is_there() {
        let mut lists = Lists::default();
        let text = indented();
        assert!(fed(&mut lists, &text.as_bytes()[..text.len() - 1]).lists.is_empty());
        assert_eq!(fed(&mut lists, b"}").lists.len(), 1);
    }

    #[test]
    fn empty_lines_say_that_a_watch_lives_but_inside_of_a_list_that_goes_on() {
        let mut lists = Lists::default();
        let mut lives = |chunk: &str| fed(&mut lists, chunk.as_bytes()).lives;
        assert!(lives("\n") && lives("\r\n") && lives(&indented()) && lives("\n"));
        // Only a whole list shows that more than its beginning will come.
        assert!(!lives(r#"{"version":"#));
        assert!(!lives("\n") && !lives("\n"), "the rest of the list never comes");
        assert!(lives("44}") && lives("\n"));
    }

    #[test]
    fn what_is_no_list_is_an_error_at_once_and_what_never_ends_at_the_limit() {
        let no_list = |text: &str| Lists::default().feed(text.as_bytes()).end.unwrap();
        for text in ["x", "]", "12\n", "\n[]", r#"{"version":1}]"#] {
            assert!(matches!(no_list(text), DiscoveryError::Start(_)), "{text}");
        }
        for text in ["{]}", r#"{"version":1 "full":true}"#, r#"{"version":"1"}"#, "[1,true,[{}]]"] {
            assert!(matches!(no_list(text), DiscoveryError::Json(_) | DiscoveryError::Start(_)), "{text}");
        }
        let mut lists = Lists::default();
        fed(&mut lists, br#"{"version":1,"servers":[""#);
        let piece = vec![b'x'; LIST_MAX / 4];
        let fed: Vec<bool> = (0..4).map(|_| lists.feed(&piece).end.is_none()).collect();
        assert_eq!(fed, [true, true, true, false]);
    }
}
