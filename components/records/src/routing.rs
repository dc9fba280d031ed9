//! The routing table that requests are matched against.

use std::sync::Arc;

use derive_more::Display;

use model::{
    AccountId, AccountSpec, FastMap, FieldFault, OperatorKeyScope, RecordName, RecordSpec,
    RevisionNumber, RouteRule, SchemaVersion, ServiceSpec,
};

use crate::access::{OperatorIdentity, hash_key, same_hash};
use crate::snapshot::{ConfigSnapshot, StoredRecord};

/// Identifies a service over the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{account}/{name}")]
pub struct ServiceKey {
    /// The account.
    pub account: AccountId,
    /// The service's name within it.
    pub name: RecordName,
}

/// A client account in force.
#[derive(Debug)]
pub struct AccountPlan {
    /// The account.
    pub id: AccountId,
    /// Its record.
    pub spec: AccountSpec,
}

/// A service in force.
#[derive(Debug)]
pub struct ServicePlan {
    /// The service.
    pub key: ServiceKey,
    /// Its record.
    pub spec: ServiceSpec,
}

/// A routing rule in force.
#[derive(Debug)]
pub struct RoutePlan {
    /// The account that the rule belongs to.
    pub account: Arc<AccountPlan>,
    /// The service that it leads to. Invariant: of the same account.
    pub service: Arc<ServicePlan>,
    /// The rule.
    pub rule: RouteRule,
}

/// All routes at one revision. Invariant: made of one snapshot, so never of two revisions.
#[derive(Debug, Default)]
pub struct RoutingTable {
    revision: RevisionNumber,
    /// Invariant: the routes of a host stand longest path prefix first.
    hosts: FastMap<Box<str>, Vec<Arc<RoutePlan>>>,
    services: FastMap<ServiceKey, Arc<ServicePlan>>,
    keys: Vec<(Box<str>, OperatorIdentity)>,
}

impl RoutingTable {
    /// Makes the table of a snapshot; fails when a record can't be read by this program.
    pub fn compile(snapshot: &ConfigSnapshot) -> Result<Self, Vec<FieldFault>> {
        let mut table = Self { revision: snapshot.revision(), ..Self::default() };
        for account in snapshot.accounts() {
            table.add_account(snapshot, &account)?;
        }
        for stored in snapshot.records() {
            table.add_key(stored)?;
        }
        for routes in table.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.rule.path_prefix.len()));
        }
        Ok(table)
    }

    /// The revision that the table was made of.
    pub fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// The route of a request; `host` is in lower case and without port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RoutePlan>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| is_below(path, &route.rule.path_prefix))
    }

    /// A service in force.
    pub fn service(&self, key: &ServiceKey) -> Option<&Arc<ServicePlan>> {
        self.services.get(key)
    }

    /// All services in force.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServicePlan>> {
        self.services.values()
    }

    /// The operator behind a key. Every stored hash is compared, each in constant time.
    pub fn find_operator(&self, key: &str) -> Option<OperatorIdentity> {
        let hash = hash_key(key);
        let mut found = None;
        for (stored, operator) in &self.keys {
            if same_hash(stored, &hash) {
                found = Some(operator.clone());
            }
        }
        found
    }

    fn add_account(
        &mut self,
        snapshot: &ConfigSnapshot,
        account: &AccountId,
    ) -> Result<(), Vec<FieldFault>> {
        let first = SchemaVersion(1);
        let Some(spec) =
            snapshot.effective_records(account, first).into_iter().find_map(|stored| match stored
                .record
                .parse_spec()
            {
                Ok(RecordSpec::ClientAccount(spec)) => Some(spec),
                _ => None,
            })
        else {
            let problem = format!("client account record of \"{account}\" can't be read");
            return Err(vec![FieldFault::new("$", problem)]);
        };
        let schema = spec.max_schema;
        let plan = Arc::new(AccountPlan { id: account.clone(), spec });
        let mut rules: Vec<RouteRule> = Vec::new();
        for stored in snapshot.effective_records(account, schema) {
            match stored.record.parse_spec()? {
                RecordSpec::Service(spec) => {
                    let key = ServiceKey {
                        account: account.clone(),
                        name: stored.record.key.name.clone(),
                    };
                    self.services.insert(key.clone(), Arc::new(ServicePlan { key, spec }));
                }
                RecordSpec::RoutingPolicy(policy) => rules.extend(policy.rules),
                RecordSpec::ClientAccount(_) | RecordSpec::OperatorKey(_) => {}
            }
        }
        for rule in rules {
            self.add_rule(&plan, rule);
        }
        Ok(())
    }

    fn add_rule(&mut self, account: &Arc<AccountPlan>, rule: RouteRule) {
        let key = ServiceKey { account: account.id.clone(), name: rule.service.clone() };
        let is_own_host = account.spec.hosts.contains(&rule.host);
        let Some(service) = self.services.get(&key).filter(|_| is_own_host) else {
            // Admission refuses such rules; one that stands in the table anyway has no effect.
            return;
        };
        let route = RoutePlan { account: Arc::clone(account), service: Arc::clone(service), rule };
        self.hosts.entry(route.rule.host.clone()).or_default().push(Arc::new(route));
    }

    fn add_key(&mut self, stored: &StoredRecord) -> Result<(), Vec<FieldFault>> {
        if let RecordSpec::OperatorKey(spec) = stored.record.parse_spec()? {
            let account = stored.record.key.account.clone();
            // Only the fleet's own keys may have the fleet's scope.
            let scope =
                if account.as_str() == "fleet" { spec.scope } else { OperatorKeyScope::Account };
            self.keys.push((spec.key_sha256, OperatorIdentity { account, scope }));
        }
        Ok(())
    }
}

fn is_below(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/')
}
