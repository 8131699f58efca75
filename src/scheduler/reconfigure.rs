//! Replaces the settings of a running router.

use super::Router;
use crate::interface::{Settings, Tenant};

impl Router {
    /// Applies new settings. Open requests keep their classes, and tenants keep what is left of their quotas.
    pub(super) fn reconfigure(&mut self, settings: Settings) {
        let remaining =
            |tenant: &Tenant| self.settings.tenant(&tenant.name).map(|index| self.quota_levels[index]);
        let quota = |tenant: &Tenant| remaining(tenant).unwrap_or((tenant.quota_per_s, self.now));
        self.quota_levels = settings.tenants.iter().map(quota).collect();
        self.settings = settings;
    }
}
