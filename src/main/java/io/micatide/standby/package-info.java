/**
 * What a controller that does not lead does in order to lead well at once: it follows the ledgers and bookings, knows its place among
 * those who may take over, and proves its copy before the first decision rests on it. Pure: answers and the time in, questions and
 * verdicts out; speaks to nobody itself ({@code node.StandbyActor} does). May not know jobs' placement, workers or users.
 */
package io.micatide.standby;
