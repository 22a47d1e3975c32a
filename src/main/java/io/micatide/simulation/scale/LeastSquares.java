package io.micatide.simulation.scale;

/**
 * A straight line through points, by least squares.
 *
 * @param slope of y by x; 0 where all x are the same
 * @param intercept y at 0
 * @param residual root of the mean square of what the line misses, in units of y
 */
public record LeastSquares(double slope, double intercept, double residual) {
    /**
     * The line for these points.
     *
     * @throws IllegalArgumentException there is no point, or the two are not of the same length
     */
    public static LeastSquares of(double[] x, double[] y) {
        if (x.length == 0 || x.length != y.length) {
            throw new IllegalArgumentException("needs as many x as y, and one at least");
        }
        double meanX = mean(x);
        double meanY = mean(y);
        double products = 0;
        double squares = 0;
        for (int i = 0; i < x.length; i++) {
            products += (x[i] - meanX) * (y[i] - meanY);
            squares += (x[i] - meanX) * (x[i] - meanX);
        }
        double slope = squares == 0 ? 0 : products / squares;
        double intercept = meanY - slope * meanX;
        double missed = 0;
        for (int i = 0; i < x.length; i++) {
            double difference = y[i] - intercept - slope * x[i];
            missed += difference * difference;
        }
        return new LeastSquares(slope, intercept, Math.sqrt(missed / x.length));
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }
}
