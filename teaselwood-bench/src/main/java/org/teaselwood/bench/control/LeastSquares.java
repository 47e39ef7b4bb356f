package org.teaselwood.bench.control;

import java.util.List;

/** A straight line fitted to points by least squares. Immutable. */
record LeastSquares(double slope, double intercept) {
    /** One point. */
    record Point(double x, double y) {}

    /** The line through the points; horizontal through their mean when all have the same x. */
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

    /** The line through the origin. */
    static LeastSquares fitThroughOrigin(List<Point> points) {
        double squares =
                points.stream().mapToDouble(point -> point.x() * point.x()).sum();
        double products =
                points.stream().mapToDouble(point -> point.x() * point.y()).sum();
        return new LeastSquares(squares == 0 ? 0 : products / squares, 0);
    }
}
