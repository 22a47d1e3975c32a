package io.micatide.model;

import java.util.List;

/**
 * A machine type that the cloud offers.
 *
 * @param name of the type
 * @param resources of a machine of the type
 * @param cacheGb size of the image cache in GB
 * @param fetchGbPerSecond rate at which a machine fetches images, 0 if fetching takes no time
 * @param price of an on-demand machine per hour
 * @param spotPrice price of a spot instance per hour
 * @param bootMicros usual time from the request for a machine until it runs
 * @param zones in which the type is available
 */
public record MachineType(
        String name,
        Resources resources,
        double cacheGb,
        double fetchGbPerSecond,
        double price,
        double spotPrice,
        long bootMicros,
        List<String> zones) {

    /** Returns the price per hour of a spot instance or an on-demand machine. */
    public double priceOf(boolean spot) {
        return spot ? spotPrice : price;
    }
}
