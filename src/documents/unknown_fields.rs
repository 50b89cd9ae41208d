//! Handles documents written by a newer version of the program: fields that this version does not
//! know are removed and reported.

use serde_json::Value;

use super::schema::ServiceDocument;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// Parses the document in `value` and returns it with JSON pointers to the fields that this version
/// of the program does not know.
///
/// During an upgrade, some processes run an older version than the one that wrote a document.
/// Rejecting the document would keep its previous version in force on them for hours. Dropping
/// fields silently would hide that a new limit is not enforced there. Both would go unnoticed, so
/// the known part is put in force and the unknown fields are reported.
///
/// # Errors
///
/// `MessageInvalid` if the document cannot be parsed without the unknown fields.
pub(crate) fn split_unknown(value: &Value) -> SwitchResult<(ServiceDocument, Vec<String>)> {
    if let Ok(document) = serde_json::from_value(value.clone()) {
        return Ok((document, Vec::new()));
    }
    let schema = super::json_schema();
    let mut known = value.clone();
    let mut unknown = Vec::new();
    remove_unknown(&mut known, &schema, &schema, "", &mut unknown);
    match serde_json::from_value(known) {
        Ok(document) => Ok((document, unknown)),
        Err(fault) => Err(SwitchError::new(
            ErrorKind::MessageInvalid,
            fault.to_string(),
        )),
    }
}

/// Removes the fields from `value` that `schema` does not define, and appends their paths to
/// `unknown`. `root` is the complete schema, to which references in `schema` are relative.
fn remove_unknown(
    value: &mut Value,
    schema: &Value,
    root: &Value,
    path: &str,
    unknown: &mut Vec<String>,
) {
    let schema = resolve_reference(schema, root);
    match value {
        Value::Object(fields) => {
            let Some(known) = schema.get("properties").and_then(Value::as_object) else {
                return;
            };
            fields.retain(|name, field| {
                let field_path = format!("{path}/{name}");
                let Some(field_schema) = known.get(name) else {
                    unknown.push(field_path);
                    return false;
                };
                remove_unknown(field, field_schema, root, &field_path, unknown);
                true
            });
        }
        Value::Array(items) => {
            let Some(item_schema) = schema.get("items") else {
                return;
            };
            for (index, item) in items.iter_mut().enumerate() {
                remove_unknown(item, item_schema, root, &format!("{path}/{index}"), unknown);
            }
        }
        _ => {}
    }
}

/// Follows the `$ref` in `schema`, if it has one, to the definition in `root`.
fn resolve_reference<'a>(schema: &'a Value, root: &'a Value) -> &'a Value {
    let reference = schema.get("$ref").and_then(Value::as_str);
    let pointer = reference.map(|reference| reference.trim_start_matches('#'));
    let target = pointer.and_then(|pointer| root.pointer(pointer));
    target.unwrap_or(schema)
}
