//! The choice of the slots that hold a share of a customer's rate.

use smol_str::SmolStr;
use std::collections::BTreeMap;

use sesamebarrow_rules::Rules;

use crate::member;

/// A slot that holds a share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The failure domain.
    pub domain: SmolStr,
    /// The slot in the failure domain.
    pub slot: u16,
}

/// Returns the slots that hold a share of the rate of `customer`: in each region that the
/// customer allows, the `per_region` slots with the highest rendezvous weight.
///
/// The result depends only on the rules, so that all instances with the same revision
/// agree. Because the number of slots per region is fixed, the state of the fleet grows with
/// the number of customers and their regions, not with the number of instances.
pub fn holders(rules: &Rules, customer: &str, per_region: usize) -> Vec<Holder> {
    let Some(entry) = rules.customers.get(customer) else {
        return Vec::new();
    };
    let mut by_region: BTreeMap<&str, Vec<(u64, Holder)>> = BTreeMap::new();
    for (name, domain) in &rules.domains {
        if !entry.regions.contains(&domain.region) {
            continue;
        }
        let slots = by_region.entry(&domain.region).or_default();
        for slot in 0..domain.slots {
            let label = format!("{name}/{slot}");
            let holder = Holder {
                domain: name.clone(),
                slot,
            };
            slots.push((
                member::rendezvous_weight(&label, customer.as_bytes()),
                holder,
            ));
        }
    }
    let mut chosen = Vec::new();
    for mut slots in by_region.into_values() {
        slots.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        chosen.extend(slots.into_iter().take(per_region).map(|(_, h)| h));
    }
    chosen
}
