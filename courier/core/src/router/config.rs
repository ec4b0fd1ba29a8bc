//! What the router reads from the settings.

use super::error::RouterError;
use quillmount_policy::{Effect, Settings};
use quillmount_settings::{NameTable, SenderSettings, decode_settings};

/// The limits on streamed messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamLimits {
    /// Streams that may be open at once.
    pub most: usize,
    /// The share of the slots that streams may take; one slot at least.
    pub share_of_slots: f64,
    /// The share of each destination's window that streams may take; a window of one at least.
    pub share_of_window: f64,
}

/// The part of the settings that the router itself uses. Classes, kinds and tenants are numbered by their positions.
#[derive(Clone, Debug)]
pub(super) struct RouterConfig {
    /// The names of the classes.
    pub(super) classes: Vec<String>,
    /// The effect of a repeat of a message of each class.
    pub(super) effects: Vec<Effect>,
    /// The names of the kinds of endpoints.
    pub(super) kinds: Vec<String>,
    /// For each kind: the endpoints of a destination are separate routes.
    pub(super) separate_routes: Vec<bool>,
    /// The names of the tenants.
    pub(super) tenants: Vec<String>,
    /// The fields of a load report; empty where answers have none.
    pub(super) load_fields: Vec<String>,
    /// Open messages above which no more are accepted.
    pub(super) open_cap: usize,
    /// Streams that may be open at once.
    pub(super) streams_most: usize,
    /// A message whose time-out has passed may be sent again while its call continues for the others.
    pub(super) hedged_requests: bool,
}

/// The settings in the forms in which they are used.
pub(super) struct DecodedSettings {
    /// For the router.
    pub(super) config: RouterConfig,
    /// For the policy.
    pub(super) policy: Settings,
    /// The numbers of the zones.
    pub(super) zones: NameTable,
}

impl DecodedSettings {
    pub(super) fn new(env: &SenderSettings, streams: Option<StreamLimits>) -> Result<Self, RouterError> {
        let (policy, zones) = decode(env, streams)?;
        let config = RouterConfig {
            classes: env.classes.iter().map(|category| category.name.clone()).collect(),
            effects: policy.classes.iter().map(|class| class.effect).collect(),
            kinds: env.kinds.clone(),
            separate_routes: env.destinations.separate_routes.clone(),
            tenants: env.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            load_fields: match env.load_report.via.as_deref() {
                Some("answers") => env.load_report.fields.clone(),
                _ => Vec::new(),
            },
            open_cap: policy.max_open_messages as usize,
            streams_most: streams.map_or(0, |limits| limits.most),
            hedged_requests: env.limits.hedged_requests.unwrap_or(true),
        };
        Ok(DecodedSettings { config, policy, zones })
    }

    /// Extends the policy's table for so many messages that are owed already.
    ///
    /// Where these alone exceed the policy's share of the table, it would shed some before trying them. New messages are
    /// accepted up to `open_cap` as before.
    pub(super) fn with_owed(mut self, owed: usize) -> Self {
        // The policy sheds load above nine tenths.
        let capacity = u32::try_from(owed + owed / 8 + 2).unwrap_or(u32::MAX);
        if owed > self.config.open_cap / 10 * 9 {
            self.policy.max_open_messages = self.policy.max_open_messages.max(capacity);
        }
        self
    }
}

/// The policy's settings and the numbers of the zones.
fn decode(env: &SenderSettings, streams: Option<StreamLimits>) -> Result<(Settings, NameTable), RouterError> {
    let mut zones = NameTable::default();
    let mut settings: Settings = decode_settings(env, &mut zones)?;
    if let Some(limits) = streams {
        let slots = (limits.share_of_slots * f64::from(settings.slots)) as u32;
        settings.stream_slots = slots.max(1);
        settings.stream_window_share = limits.share_of_window;
    }
    Ok((settings, zones))
}

/// Identifies settings: the numbers in a state stand for other names under other settings.
///
/// # Errors
/// The settings can't be decoded.
pub fn settings_fingerprint(env: &SenderSettings, streams: Option<StreamLimits>) -> Result<u32, RouterError> {
    let (settings, _) = decode(env, streams)?;
    let classes: Vec<_> = env.classes.iter().map(|c| &c.name).collect();
    let tenants: Vec<_> = env.tenants.iter().map(|t| &t.name).collect();
    let names = format!("{classes:?} {:?} {tenants:?} {:?} {:?}", env.kinds, env.zone, env.zones);
    Ok(crc32fast::hash(format!("{} {names} {}", settings.mark_text(), streams_text(streams)).as_bytes()))
}

/// The limits of streams in the same stable form as [`Settings::mark_text`]: its names never follow a rename.
fn streams_text(streams: Option<StreamLimits>) -> String {
    let Some(limits) = streams else { return "None".into() };
    let (most, slots, window) = (limits.most, limits.share_of_slots, limits.share_of_window);
    format!("Some(StreamLimits {{ most: {most:?}, part_of_slots: {slots:?}, part_of_window: {window:?} }})")
}
