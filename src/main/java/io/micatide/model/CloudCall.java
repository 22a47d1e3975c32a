package io.micatide.model;

import java.util.List;

/** A call to the cloud. */
public sealed interface CloudCall {
    record Rent(String requestName, String type, String zone, boolean spot, int count) implements CloudCall {}

    record Delete(List<String> machines) implements CloudCall {}

    record ListMachines() implements CloudCall {}

    record ListTypes() implements CloudCall {}
}
