/** Inventories for tests, benchmarks and the demo. */

/** Two data centres in one region, with two services. */
export const SMALL_INVENTORY = `
[data-centre.lautoka]
region = viti-levu
[data-centre.nadi]
region = viti-levu
[owner.casting]
contact = casting team
[service.catalogue]
owner = casting
data_centres = lautoka, nadi
timeout_ms = 2000
[service.orders]
owner = casting
data_centres = lautoka, nadi
timeout_ms = 2000
shed_statuses = 503
[rule.catalogue]
service = catalogue
path_prefix = /catalogue
[rule.orders]
service = orders
path_prefix = /orders
`;
