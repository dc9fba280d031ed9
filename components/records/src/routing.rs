//! Routing table that requests are matched against.

use std::sync::Arc;

use derive_more::Display;

use model::{
    AccountId, AccountSpec, FastMap, FieldFault, OperatorKeyScope, RecordName, RecordSpec,
    RevisionNumber, RouteRule, SchemaVersion, ServiceSpec, hashes_match,
};

use crate::access::{OperatorIdentity, hash_key};
use crate::snapshot::{ConfigSnapshot, StoredRecord};

/// Fleet-wide identity of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{account}/{name}")]
pub struct ServiceKey {
    /// Client account that the service belongs to.
    pub account: AccountId,
    /// Name of the service within the account.
    pub name: RecordName,
}

/// Effective configuration of a client account.
#[derive(Debug)]
pub struct AccountConfig {
    /// ID of the account.
    pub id: AccountId,
    /// Spec of the client account record.
    pub spec: AccountSpec,
}

/// Effective configuration of a service.
#[derive(Debug)]
pub struct ServiceConfig {
    /// Key of the service.
    pub key: ServiceKey,
    /// Spec of the service record.
    pub spec: ServiceSpec,
}

/// A routing rule with the account and the service that it refers to.
#[derive(Debug)]
pub struct ResolvedRoute {
    /// Client account that the rule belongs to.
    pub account: Arc<AccountConfig>,
    /// Service that matching requests are sent to. Invariant: it belongs to the same account.
    pub service: Arc<ServiceConfig>,
    /// The rule.
    pub rule: RouteRule,
}

/// All routes at one revision. Invariant: compiled from one snapshot, so revisions never mix.
#[derive(Debug, Default)]
pub struct RoutingTable {
    revision: RevisionNumber,
    /// Invariant: the routes of a host are sorted by path prefix, longest first.
    routes_by_host: FastMap<Box<str>, Vec<Arc<ResolvedRoute>>>,
    services: FastMap<ServiceKey, Arc<ServiceConfig>>,
    operator_keys: Vec<(Box<str>, OperatorIdentity)>,
}

impl RoutingTable {
    /// Compiles the table from a snapshot. Fails if this program can't decode one of the records.
    pub fn compile(snapshot: &ConfigSnapshot) -> Result<Self, Vec<FieldFault>> {
        let mut table = Self { revision: snapshot.revision(), ..Self::default() };
        for account in snapshot.accounts() {
            table.add_account(snapshot, &account)?;
        }
        for stored in snapshot.records() {
            table.add_operator_key(stored)?;
        }
        for routes in table.routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.rule.path_prefix.len()));
        }
        Ok(table)
    }

    /// Returns the revision of the snapshot that the table was compiled from.
    pub fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// Returns the route of a request; `host` must be in lower case and without a port.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<ResolvedRoute>> {
        let routes = self.routes_by_host.get(host)?;
        routes.iter().find(|route| has_path_prefix(path, &route.rule.path_prefix))
    }

    /// Returns the service with this key.
    pub fn service(&self, key: &ServiceKey) -> Option<&Arc<ServiceConfig>> {
        self.services.get(key)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceConfig>> {
        self.services.values()
    }

    /// Returns the identity that belongs to an operator key. Compares every stored hash, each in
    /// constant time, so that the duration reveals nothing about the stored hashes.
    pub fn find_operator(&self, key: &str) -> Option<OperatorIdentity> {
        let hash = hash_key(key);
        let mut found = None;
        for (stored_hash, operator) in &self.operator_keys {
            if hashes_match(stored_hash.as_bytes(), hash.as_bytes()) {
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
        let first_schema = SchemaVersion(1);
        let Some(spec) =
            snapshot.effective_records(account, first_schema).into_iter().find_map(|stored| {
                match stored.record.parse_spec() {
                    Ok(RecordSpec::ClientAccount(spec)) => Some(spec),
                    _ => None,
                }
            })
        else {
            let problem = format!("account \"{account}\" has no valid client account record");
            return Err(vec![FieldFault::new("$", problem)]);
        };
        let schema = spec.max_schema;
        let config = Arc::new(AccountConfig { id: account.clone(), spec });
        let mut rules: Vec<RouteRule> = Vec::new();
        for stored in snapshot.effective_records(account, schema) {
            match stored.record.parse_spec()? {
                RecordSpec::Service(spec) => {
                    let key = ServiceKey {
                        account: account.clone(),
                        name: stored.record.key.name.clone(),
                    };
                    self.services.insert(key.clone(), Arc::new(ServiceConfig { key, spec }));
                }
                RecordSpec::RoutingPolicy(policy) => rules.extend(policy.rules),
                RecordSpec::ClientAccount(_) | RecordSpec::OperatorKey(_) => {}
            }
        }
        for rule in rules {
            self.add_rule(&config, rule);
        }
        Ok(())
    }

    fn add_rule(&mut self, account: &Arc<AccountConfig>, rule: RouteRule) {
        let key = ServiceKey { account: account.id.clone(), name: rule.service.clone() };
        let is_account_host = account.spec.hosts.contains(&rule.host);
        let Some(service) = self.services.get(&key).filter(|_| is_account_host) else {
            // Admission refuses such rules; if one is stored anyway, it is ignored.
            return;
        };
        let route =
            ResolvedRoute { account: Arc::clone(account), service: Arc::clone(service), rule };
        self.routes_by_host.entry(route.rule.host.clone()).or_default().push(Arc::new(route));
    }

    fn add_operator_key(&mut self, stored: &StoredRecord) -> Result<(), Vec<FieldFault>> {
        if let RecordSpec::OperatorKey(spec) = stored.record.parse_spec()? {
            let account = stored.record.key.account.clone();
            // Only keys of the fleet account may have fleet scope.
            let scope =
                if account.as_str() == "fleet" { spec.scope } else { OperatorKeyScope::Account };
            self.operator_keys.push((spec.key_sha256, OperatorIdentity { account, scope }));
        }
        Ok(())
    }
}

/// Whether a path equals a prefix or lies below it; `/orders` does not match `/ordersx`.
fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/')
}
