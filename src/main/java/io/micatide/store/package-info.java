/**
 * Content of the store: records, their keys, transactions with their conditions, and compact text forms of task sets and machine names.
 * Depends on {@code model} only; {@code protocol} encodes the records as JSON.
 */
package io.micatide.store;
