//! Checks the credentials of operators.

use std::sync;

use galenahold_domain::name;
use http::{HeaderMap, header};
use sha2::{Digest, Sha256};

use crate::api;

/// Authenticates operators by their bearer credential.
#[derive(Debug, Clone)]
pub(crate) struct OperatorAuthenticator {
    credentials: sync::Arc<[OperatorCredential]>,
}

#[derive(Debug)]
struct OperatorCredential {
    operator: name::OperatorName,
    sha256: String,
}

/// An authenticated operator with the credential of the request.
#[derive(Clone)]
pub(crate) struct OperatorIdentity {
    /// The name of the operator.
    pub(crate) operator: name::OperatorName,
    /// The credential, from which keys are derived. It is never stored or logged.
    pub(crate) credential: String,
}

impl OperatorAuthenticator {
    /// Creates an authenticator from operators and the SHA-256 digests of their credentials, in hexadecimal.
    pub(crate) fn new(credentials: impl IntoIterator<Item = (name::OperatorName, String)>) -> Self {
        Self {
            credentials: credentials
                .into_iter()
                .map(|(operator, sha256)| OperatorCredential { operator, sha256 })
                .collect(),
        }
    }

    /// Authenticates the sender of a request.
    ///
    /// # Errors
    ///
    /// The request has no credential or an unknown one. It is refused as not run.
    pub(crate) fn authenticate(
        &self,
        headers: &HeaderMap,
    ) -> Result<OperatorIdentity, api::RequestRefusal> {
        let credential = bearer_text(headers).ok_or_else(unauthorized)?;
        let shown = hexadecimal(&Sha256::digest(credential.as_bytes()));
        let known = self
            .credentials
            .iter()
            .find(|known| known.sha256.eq_ignore_ascii_case(&shown));
        let known = known.ok_or_else(unauthorized)?;
        Ok(OperatorIdentity {
            operator: known.operator.clone(),
            credential: credential.to_owned(),
        })
    }
}

/// Returns the bearer credential of a request, if it has one.
pub(crate) fn bearer_text(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, text) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(text.trim())
}

/// Encodes bytes as lowercase hexadecimal digits.
pub(crate) fn hexadecimal(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unauthorized() -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::Unauthorized,
        "send an operator's credential as Authorization: Bearer",
    )
}
