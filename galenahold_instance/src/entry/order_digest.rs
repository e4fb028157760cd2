//! Digest that distinguishes a retry of an order from a different order.

use http::Method;
use sha2::{Digest, Sha256};

use crate::operator;

/// Returns the hexadecimal SHA-256 of method, target and body, each preceded by its length.
pub(crate) fn order_digest(method: &Method, target: &str, body: &[u8]) -> String {
    let mut hasher = Sha256::new();
    for part in [method.as_str().as_bytes(), target.as_bytes(), body] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    operator::hexadecimal(&hasher.finalize())
}
