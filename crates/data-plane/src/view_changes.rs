//! Applies changes of the fleet view to the balancer, the connection pool and the quotas.

use crate::data_plane::DataPlane;
use archlink_balancer::balancer::WarmUpLimits;
use archlink_config::Configuration;
use archlink_control_client::fleet_view::ViewChange;
use archlink_messages::HostList;

impl DataPlane {
    /// Applies `changes` in their order and notifies the sessions with the control node and the quota counter.
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
                ViewChange::InvalidUpdate(error) => log::error!(error:% = error; "state update rejected"),
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

    /// Applies a list of hosts, and closes the pooled connections to hosts that get no more requests: their addresses may
    /// be assigned to other instances.
    fn apply_host_list(&self, now: f64, hosts: &HostList) {
        let removed = self.balancer.borrow_mut().update_hosts(now, &hosts.instances);
        removed.into_iter().for_each(|key| self.pool.forget(key));
    }
}
