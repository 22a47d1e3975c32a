/**
 * What is kept in the state service: the records, their keys, transactions with their conditions, and compact text forms of task sets
 * and machine names. Depends on {@code model} alone; the JSON of the records is the business of {@code protocol}.
 */
package io.micatide.store;
