//! The errors that checking a declaration reports.

use snafu::Snafu;

use crate::name;

/// The reason why a declaration is invalid.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum DeclarationError {
    /// A route refers to a service that is not declared.
    #[snafu(display("route \"{route}\": service \"{service}\" is not declared"))]
    UnknownService {
        /// The route.
        route: name::RouteName,
        /// The service.
        service: name::ServiceName,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display(
        "routes \"{first}\" and \"{second}\" both serve host \"{host}\" under \"{path_prefix}\""
    ))]
    DuplicateRoute {
        /// The route that is declared first.
        first: name::RouteName,
        /// The other route.
        second: name::RouteName,
        /// The host of both routes.
        host: String,
        /// The path prefix of both routes.
        path_prefix: String,
    },
    /// The weights of a route's services add up to zero.
    #[snafu(display("route \"{route}\": the weights of its services add up to 0"))]
    ZeroWeight {
        /// The route.
        route: name::RouteName,
    },
    /// The timeout of a route is zero.
    #[snafu(display("route \"{route}\": its timeout is 0"))]
    ZeroTimeout {
        /// The route.
        route: name::RouteName,
    },
    /// A path prefix does not begin and end with a slash.
    #[snafu(display(
        "route \"{route}\": path prefix \"{path_prefix}\" does not begin and end with /"
    ))]
    MalformedPrefix {
        /// The route.
        route: name::RouteName,
        /// The path prefix.
        path_prefix: String,
    },
    /// Two teams have the same key, or one team has it twice.
    #[snafu(display("teams \"{first}\" and \"{second}\" share a key"))]
    DuplicateKey {
        /// The team that is declared first.
        first: name::TeamName,
        /// The other team, or the same one.
        second: name::TeamName,
    },
    /// Two services have the same name.
    #[snafu(display("service \"{service}\" is declared twice"))]
    DuplicateService {
        /// The service.
        service: name::ServiceName,
    },
}
