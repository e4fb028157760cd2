//! A parsed declaration and its validation.

use std::collections;

use crate::declaration;
use crate::declaration::declaration_error;

/// The whole configuration of a fleet, as an operator declares it.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetDeclaration {
    /// The number assigned by the operator; the declaration with the highest number is in force.
    pub number: u64,
    /// The routes.
    pub routes: Vec<declaration::DeclaredRoute>,
    /// The services.
    pub services: Vec<declaration::DeclaredService>,
    /// The teams; if there are none, no call needs a key.
    pub teams: Vec<declaration::DeclaredTeam>,
    /// The limits on callers' requests and connections.
    pub limits: declaration::CallerLimits,
}

impl FleetDeclaration {
    /// Checks the routes, the services and the teams, and the references between them.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with the names of the parts concerned.
    pub fn check(&self) -> Result<(), declaration::DeclarationError> {
        self.check_services()?;
        self.check_routes()?;
        self.check_teams()
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&declaration::DeclaredService> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }

    fn check_services(&self) -> Result<(), declaration::DeclarationError> {
        let mut seen = collections::HashSet::new();
        for service in &self.services {
            if !seen.insert(&service.name) {
                return declaration_error::DuplicateServiceSnafu {
                    service: service.name.clone(),
                }
                .fail();
            }
        }
        Ok(())
    }

    fn check_routes(&self) -> Result<(), declaration::DeclarationError> {
        let services: collections::HashSet<_> =
            self.services.iter().map(|service| &service.name).collect();
        let mut routes_by_key = collections::HashMap::new();
        for route in &self.routes {
            check_route(route, &services)?;
            let route_key = (&route.host, &route.path_prefix);
            if let Some(first) = routes_by_key.insert(route_key, &route.name) {
                return declaration_error::DuplicateRouteSnafu {
                    first: first.clone(),
                    second: route.name.clone(),
                    host: route.host.to_string(),
                    path_prefix: route.path_prefix.to_string(),
                }
                .fail();
            }
        }
        Ok(())
    }

    fn check_teams(&self) -> Result<(), declaration::DeclarationError> {
        let mut teams_by_secret = collections::HashMap::new();
        for team in &self.teams {
            for secret in &team.secrets {
                if let Some(first) = teams_by_secret.insert(secret, &team.name) {
                    return declaration_error::DuplicateKeySnafu {
                        first: first.clone(),
                        second: team.name.clone(),
                    }
                    .fail();
                }
            }
        }
        Ok(())
    }
}

/// Checks one route by itself, and that its services are declared.
fn check_route(
    route: &declaration::DeclaredRoute,
    services: &collections::HashSet<&crate::name::ServiceName>,
) -> Result<(), declaration::DeclarationError> {
    let unknown = route
        .shares
        .iter()
        .find(|share| !services.contains(&share.service));
    if let Some(share) = unknown {
        return declaration_error::UnknownServiceSnafu {
            route: route.name.clone(),
            service: share.service.clone(),
        }
        .fail();
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        return declaration_error::ZeroWeightSnafu {
            route: route.name.clone(),
        }
        .fail();
    }
    if route.timeout.is_zero() {
        return declaration_error::ZeroTimeoutSnafu {
            route: route.name.clone(),
        }
        .fail();
    }
    if !(route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/')) {
        return declaration_error::MalformedPrefixSnafu {
            route: route.name.clone(),
            path_prefix: route.path_prefix.to_string(),
        }
        .fail();
    }
    Ok(())
}
