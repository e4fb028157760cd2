//! Macro that defines settings groups of numbers.

/// Defines a settings group of number fields: the struct, its accessors and its schema.
///
/// Each field consists of its accessor, its name in the file, its unit, the allowed range and the default;
/// its doc comment is also its summary in the reference page. Accessors return a `Duration` for
/// milliseconds and seconds, a `ByteCount` for bytes and a `u64` otherwise.
macro_rules! define_number_group {
    (
        $(#[doc = $group_doc:literal])+
        $group:ident {$(
            $(#[doc = $doc:literal])+
            $accessor:ident: $name:literal, $unit:ident, $min:literal..=$max:literal, default $default:literal;
        )+}
    ) => {
        $(#[doc = $group_doc])+
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub struct $group {
            $($accessor: u64,)+
        }

        impl $group {
            pub(crate) const DESCRIPTION: $crate::description::GroupDescription =
                $crate::description::GroupDescription {
                    fields: &[$(
                        $crate::description::FieldDescription::required(
                            $name,
                            $crate::description::ValueKind::Number {
                                unit: $crate::description::NumberUnit::$unit,
                                min: $min,
                                max: $max,
                            },
                            concat!($($doc),+),
                        )
                        .default_value($crate::description::DefaultValue::Number($default)),
                    )+],
                };

            pub(crate) fn from_group(group: &$crate::reader::ParsedGroup) -> Option<Self> {
                let mut fields = Self::DESCRIPTION.fields.iter();
                Some(Self {
                    $($accessor: group.number(fields.next()?)?,)+
                })
            }

            $(
                $(#[doc = $doc])+
                #[must_use]
                pub fn $accessor(&self) -> number_type!($unit) {
                    number_value!($unit, self.$accessor)
                }
            )+
        }
    };
}

/// Expands to the return type of an accessor for a unit.
macro_rules! number_type {
    (Milliseconds) => {
        std::time::Duration
    };
    (Seconds) => {
        std::time::Duration
    };
    (Bytes) => {
        galenahold_domain::amount::ByteCount
    };
    ($unit:ident) => {
        u64
    };
}

/// Converts a number to the return type of an accessor for its unit.
macro_rules! number_value {
    (Milliseconds, $number:expr) => {
        std::time::Duration::from_millis($number)
    };
    (Seconds, $number:expr) => {
        std::time::Duration::from_secs($number)
    };
    (Bytes, $number:expr) => {
        galenahold_domain::amount::ByteCount($number)
    };
    ($unit:ident, $number:expr) => {
        $number
    };
}
