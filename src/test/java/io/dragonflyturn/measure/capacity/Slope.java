package io.dragonflyturn.measure.capacity;

import java.util.List;

/**
 * Encoded size and codec time of a message at several sizes, with a least-squares linear fit.
 *
 * @param message the description of the message
 * @param grows the quantity that determines the size of the message
 * @param points the measured points
 * @param bytesEach the encoded bytes per unit of size
 * @param bytesBase the encoded bytes at size zero, extrapolated
 * @param microsEach the time to encode and decode per unit of size, in microseconds
 */
record Slope(
    String message,
    String grows,
    List<Point> points,
    double bytesEach,
    double bytesBase,
    double microsEach) {

  /** Returns the least-squares fit of the given points, which need at least two sizes. */
  static Slope fit(String message, String grows, List<Point> points) {
    double sizeMean = points.stream().mapToDouble(Point::size).average().orElseThrow();
    double bytesMean = points.stream().mapToDouble(Point::bytes).average().orElseThrow();
    double microsMean = points.stream().mapToDouble(Point::micros).average().orElseThrow();
    double variance = 0;
    double bytesCovariance = 0;
    double microsCovariance = 0;
    for (Point point : points) {
      double deviation = point.size() - sizeMean;
      variance += deviation * deviation;
      bytesCovariance += deviation * (point.bytes() - bytesMean);
      microsCovariance += deviation * (point.micros() - microsMean);
    }
    double bytesEach = bytesCovariance / variance;
    return new Slope(
        message,
        grows,
        List.copyOf(points),
        bytesEach,
        bytesMean - bytesEach * sizeMean,
        microsCovariance / variance);
  }

  /**
   * Measurement at one size.
   *
   * @param size the number of units, such as workers or tasks
   * @param bytes the length of the encoded message, in bytes
   * @param micros the time to encode and decode the message, in microseconds
   */
  record Point(int size, int bytes, double micros) {}
}
