//! Applies changes of the fleet view to what goes by it: balancer, connection pool and quotas.

use crate::data_plane::DataPlane;
use archlink_balancer::balancer::WarmUpLimits;
use archlink_config::Configuration;
use archlink_control_client::fleet_view::ViewChange;
use archlink_messages::HostList;

impl DataPlane {
    /// Applies `changes` in their order and notifies the sessions.
    pub fn apply_view_changes(&self, changes: Vec<ViewChange>) {
        if changes.is_empty() {
            return;
        }
        let now = self.clock.now();
        for change in changes {
            match change {
                ViewChange::Configuration(configuration) => self.apply_configuration(&configuration),
                ViewChange::EvacuatedZones(zones) => {
                    log::info!(zones:? = zones; "evacuated zones changed");
                    self.balancer.borrow_mut().set_evacuated(now, zones);
                }
                ViewChange::HostList(hosts) => self.apply_host_list(now, &hosts),
                ViewChange::DataNodes => {
                    self.apply_quotas();
                    self.balancer.borrow_mut().set_data_nodes(self.fleet_view.borrow().data_nodes());
                }
                ViewChange::InvalidUpdate(why) => log::error!(error:% = why; "state update rejected"),
                ViewChange::ControlNodes | ViewChange::Leases | ViewChange::ConfirmationChanged => {}
            }
        }
        self.state_changed.notify_waiters();
    }

    fn apply_configuration(&self, configuration: &Configuration) {
        log::info!(version:% = format_args!("{:08x}", configuration.version); "configuration applied");
        let services = configuration.services.values().map(|service| {
            let limits =
                WarmUpLimits { warm_up_rate: service.warm_up_rate, warm_up_period: service.warm_up_period };
            (service.name.clone(), limits)
        });
        self.balancer.borrow_mut().set_services(services.collect());
        self.apply_quotas();
    }

    /// Connections to host instances that are gone are closed: their addresses may be given to others.
    fn apply_host_list(&self, now: f64, hosts: &HostList) {
        let removed = self.balancer.borrow_mut().update_hosts(now, &hosts.instances);
        removed.into_iter().for_each(|key| self.pool.forget(key));
    }
}
