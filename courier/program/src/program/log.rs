//! The log on standard error: lines for people, or JSON for machines. The levels can change while the process runs.

use quillmount_operator::{Log, LogFormat};
use std::fmt;
use std::str::FromStr;
use std::time::SystemTime;
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::{ParseError, Targets};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, FormattedFields};
use tracing_subscriber::prelude::*;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::{Registry, reload};

/// The variable that overrides the operator file's `log.filter`.
const VARIABLE: &str = "RUST_LOG";

/// A text that is no list of levels.
#[derive(Debug, thiserror::Error)]
#[error("{owner}: {text:?} is no list of levels, as in \"info,quillmount=debug\": {source}")]
pub struct LevelsError {
    /// The variable or field that the text comes from.
    owner: &'static str,
    text: String,
    source: ParseError,
}

/// The levels in force, which a SIGHUP may change.
pub struct Levels(reload::Handle<Targets, Registry>);

impl Levels {
    /// Sets the levels by `RUST_LOG`, or else by the section.
    ///
    /// # Errors
    /// The text is no list of levels; the old ones stay.
    pub fn set(&self, log: &Log) -> Result<(), LevelsError> {
        let targets = levels(log)?;
        // The registry lives as long as the process.
        let _ = self.0.reload(targets);
        Ok(())
    }
}

/// The levels of the variable, or else of the operator file.
fn levels(log: &Log) -> Result<Targets, LevelsError> {
    match std::env::var(VARIABLE) {
        Ok(text) => parse(VARIABLE, &text),
        Err(_) => parse("$.log.filter", &log.filter),
    }
}

/// Reads a list of levels by module.
///
/// # Errors
/// The text is none; the error names its `owner`, the variable or field that it comes from.
pub fn parse(owner: &'static str, text: &str) -> Result<Targets, LevelsError> {
    Targets::from_str(text).map_err(|source| LevelsError { owner, text: text.into(), source })
}

/// Starts the log. Without readable levels it logs at `info`, so that the error itself appears.
///
/// # Errors
/// The levels can't be read.
pub fn begin(log: &Log) -> Result<Levels, LevelsError> {
    let targets = levels(log);
    let usual = || Targets::new().with_default(tracing::Level::INFO);
    let (known, error) = match targets {
        Ok(targets) => (targets, None),
        Err(e) => (usual(), Some(e)),
    };
    let (filter, handle) = reload::Layer::new(known);
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    let registry = tracing_subscriber::registry().with(filter);
    match log.format {
        LogFormat::Text => registry.with(lines.event_format(Plain)).init(),
        LogFormat::Json => registry
            .with(
                lines
                    .json()
                    .flatten_event(true)
                    .with_current_span(true)
                    .with_span_list(false)
                    .with_timer(Time),
            )
            .init(),
    }
    error.map_or(Ok(Levels(handle)), Err)
}

/// Time to the millisecond, as RFC 3339 has it.
struct Time;

impl FormatTime for Time {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        write!(w, "{}", humantime::format_rfc3339_millis(SystemTime::now()))
    }
}

/// `[time level module] text`, with what the line is about behind it.
struct Plain;

impl<S, N> FormatEvent<S, N> for Plain
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut w: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let about = event.metadata();
        write!(w, "[")?;
        Time.format_time(&mut w)?;
        write!(w, " {:5} {}] ", about.level(), about.target())?;
        context.field_format().format_fields(w.by_ref(), event)?;
        for span in context.event_scope().into_iter().flat_map(|scope| scope.from_root()) {
            let known = span.extensions();
            if let Some(fields) = known.get::<FormattedFields<N>>().filter(|fields| !fields.is_empty()) {
                write!(w, " [{} {fields}]", span.name())?;
            }
        }
        writeln!(w)
    }
}
