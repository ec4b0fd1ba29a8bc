//! Calls to the platform in a singleton role. Only the primary makes them, with its epoch as the fencing token.

use crate::clock;
use crate::control_member::ControlMember;
use crate::http::{self, ClientRequest};
use std::time::Duration;

/// HTTP status of a call that the platform rejects because a higher fencing token was used before.
pub const STATUS_FENCED: u16 = 409;
/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Returns whether this member, as primary of `epoch`, may act in a role. The settings must name the role, and the lease of an
/// earlier primary, which may still act in the role, must have expired.
pub fn may_act(core: &ControlMember, epoch: u64, role: &str) -> bool {
    let settings = &core.node.settings;
    let awaiting_lease_expiry =
        epoch > 1 && core.time_as_primary() < clock::micros_from_ms(settings.slo.lease_ms);
    !awaiting_lease_expiry
        && settings
            .cloud_api
            .as_ref()
            .is_some_and(|cloud| cloud.singleton_roles.iter().any(|configured_role| configured_role == role))
}

/// Posts JSON to the platform in a singleton role and returns the HTTP status. `None` if there was no answer, if this member is no
/// longer primary of `epoch`, or if the settings name no platform.
pub async fn call_as_singleton(core: &ControlMember, epoch: u64, target: &str, body: String) -> Option<u16> {
    if core.serving() != Some(epoch) {
        return None;
    }
    let address = &core.node.settings.cloud_api.as_ref()?.address;
    let headers = [
        ("Holder", core.node.info.name.clone()),
        ("Fence", epoch.to_string()),
        ("Content-Type", "application/json".to_owned()),
    ];
    let request = ClientRequest { method: "POST", target, headers: &headers, body: body.as_bytes() };
    let status = http::call(address, request, CALL_TIMEOUT).await.map(|response| response.status);
    core.node.metrics.count_platform_call(status);
    status
}
