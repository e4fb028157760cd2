//! Settings over settings.

use serde_json::Value;

/// Lays `over` on `base`: objects merge field by field, null changes nothing, anything else replaces.
pub(crate) fn merge_settings(base: &mut Value, over: &Value) {
    if over.is_null() {
        return;
    }
    let (Some(fields), Value::Object(over)) = (base.as_object_mut(), over) else {
        base.clone_from(over);
        return;
    };
    for (name, value) in over {
        let field = fields.entry(name.as_str()).or_insert(Value::Null);
        merge_settings(field, value);
    }
}
