//! The router's view of the settings.

use super::error::RouterError;
use quillmount_policy::{Effect, Settings};
use quillmount_settings::{NameTable, SenderSettings, decode_settings};

/// The limits on streamed messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamLimits {
    /// Maximum number of streams that are open at the same time.
    pub max_open: usize,
    /// The fraction of the call slots that streams may take; at least one slot.
    pub share_of_slots: f64,
    /// The fraction of each destination's window that streams may take; at least a window of one.
    pub share_of_window: f64,
}

/// The settings that the router itself uses. Classes, kinds and tenants are numbered by their positions.
#[derive(Clone, Debug)]
pub(super) struct RouterConfig {
    /// The names of the message classes, by class number.
    pub(super) classes: Vec<String>,
    /// The effect of a repeated delivery, by class number.
    pub(super) effects: Vec<Effect>,
    /// The names of the endpoint kinds, by kind number.
    pub(super) kinds: Vec<String>,
    /// Whether the endpoints of a destination are separate routes, by kind number.
    pub(super) separate_routes: Vec<bool>,
    /// The names of the tenants, by tenant number.
    pub(super) tenants: Vec<String>,
    /// The fields of a load report; empty if answers have no load report.
    pub(super) load_fields: Vec<String>,
    /// Number of open messages from which new ones are rejected.
    pub(super) max_open_messages: usize,
    /// Maximum number of streams that are open at the same time.
    pub(super) max_streams: usize,
    /// Whether a message whose timeout has passed may be retried while its call continues for its other messages.
    pub(super) hedged_requests: bool,
}

/// The settings, decoded for the router and for the policy.
pub(super) struct DecodedSettings {
    /// The settings of the router.
    pub(super) config: RouterConfig,
    /// The settings of the policy.
    pub(super) policy: Settings,
    /// The names of the zones, by zone number.
    pub(super) zones: NameTable,
}

impl DecodedSettings {
    pub(super) fn new(
        sender_settings: &SenderSettings,
        streams: Option<StreamLimits>,
    ) -> Result<Self, RouterError> {
        let (policy, zones) = decode(sender_settings, streams)?;
        let config = RouterConfig {
            classes: sender_settings.classes.iter().map(|category| category.name.clone()).collect(),
            effects: policy.classes.iter().map(|class| class.effect).collect(),
            kinds: sender_settings.kinds.clone(),
            separate_routes: sender_settings.destinations.separate_routes.clone(),
            tenants: sender_settings.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            load_fields: match sender_settings.load_report.via.as_deref() {
                Some("answers") => sender_settings.load_report.fields.clone(),
                _ => Vec::new(),
            },
            max_open_messages: policy.max_open_messages as usize,
            max_streams: streams.map_or(0, |limits| limits.max_open),
            hedged_requests: sender_settings.limits.hedged_requests.unwrap_or(true),
        };
        Ok(DecodedSettings { config, policy, zones })
    }

    /// Extends the policy's table for messages that are already owed.
    ///
    /// If these alone exceeded the level at which the policy sheds load, it would drop some of them before the first
    /// attempt. New messages are still accepted only up to `max_open_messages`.
    pub(super) fn with_capacity_for(mut self, owed: usize) -> Self {
        // The policy sheds load above nine tenths of the table.
        let capacity = u32::try_from(owed + owed / 8 + 2).unwrap_or(u32::MAX);
        if owed > self.config.max_open_messages / 10 * 9 {
            self.policy.max_open_messages = self.policy.max_open_messages.max(capacity);
        }
        self
    }
}

/// Decodes the policy's settings and numbers the zones.
fn decode(
    sender_settings: &SenderSettings,
    streams: Option<StreamLimits>,
) -> Result<(Settings, NameTable), RouterError> {
    let mut zones = NameTable::default();
    let mut settings: Settings = decode_settings(sender_settings, &mut zones)?;
    if let Some(limits) = streams {
        let slots = (limits.share_of_slots * f64::from(settings.slots)) as u32;
        settings.stream_slots = slots.max(1);
        settings.stream_window_share = limits.share_of_window;
    }
    Ok((settings, zones))
}

/// A checksum that identifies settings. Under settings with another fingerprint the numbers in a
/// [`RouterState`](super::RouterState) may refer to other names.
///
/// # Errors
/// The settings can't be decoded.
pub fn settings_fingerprint(
    sender_settings: &SenderSettings,
    streams: Option<StreamLimits>,
) -> Result<u32, RouterError> {
    let (settings, _) = decode(sender_settings, streams)?;
    let classes: Vec<_> = sender_settings.classes.iter().map(|class| &class.name).collect();
    let tenants: Vec<_> = sender_settings.tenants.iter().map(|tenant| &tenant.name).collect();
    let names = format!(
        "{classes:?} {:?} {tenants:?} {:?} {:?}",
        sender_settings.kinds, sender_settings.zone, sender_settings.zones
    );
    Ok(crc32fast::hash(
        format!("{} {names} {}", settings.mark_text(), stream_limits_text(streams)).as_bytes(),
    ))
}

/// The limits of streams in the same stable form as [`Settings::mark_text`]. The names in it are part of the
/// fingerprint, so they do not change when fields are renamed.
fn stream_limits_text(streams: Option<StreamLimits>) -> String {
    let Some(limits) = streams else { return "None".into() };
    let (max_open, slots, window) = (limits.max_open, limits.share_of_slots, limits.share_of_window);
    format!(
        "Some(StreamLimits {{ most: {max_open:?}, part_of_slots: {slots:?}, part_of_window: {window:?} }})"
    )
}
