package org.teaselwood.bench.control;

import java.util.List;

/** A linear function fitted to points by least squares. Immutable. */
record LeastSquares(double slope, double intercept) {
    /** A point of the data set. */
    record Point(double x, double y) {}

    /** Fits a line to the points; the line is horizontal through their mean if all have the same x. */
    static LeastSquares fit(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
        double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
        double variance = points.stream()
                .mapToDouble(point -> (point.x() - meanX) * (point.x() - meanX))
                .sum();
        double covariance = points.stream()
                .mapToDouble(point -> (point.x() - meanX) * (point.y() - meanY))
                .sum();
        double slope = variance == 0 ? 0 : covariance / variance;
        return new LeastSquares(slope, meanY - slope * meanX);
    }

    /** Fits a line through the origin to the points. */
    static LeastSquares fitThroughOrigin(List<Point> points) {
        double squares =
                points.stream().mapToDouble(point -> point.x() * point.x()).sum();
        double products =
                points.stream().mapToDouble(point -> point.x() * point.y()).sum();
        return new LeastSquares(squares == 0 ? 0 : products / squares, 0);
    }
}
