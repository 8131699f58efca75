//! New settings for a router that is at work.

use super::Router;
use crate::interface::{Settings, Tenant};

impl Router {
    /// Open requests hold their classes themselves; what tenants have left of their quotas stays.
    pub(super) fn reconfigure(&mut self, settings: Settings) {
        let left = |t: &Tenant| self.settings.tenant(&t.name).map(|i| self.quota_levels[i]);
        let quota = |t: &Tenant| left(t).unwrap_or((t.quota_per_s, self.now));
        self.quota_levels = settings.tenants.iter().map(quota).collect();
        if settings.conductors != self.settings.conductors {
            self.equivalent_conductors = f64::from(settings.conductors);
        }
        self.settings = settings;
    }
}
