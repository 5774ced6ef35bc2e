package org.oleandertrack.bench;

import java.util.List;

/** A benchmark that runs the product's policies and one or more baselines under the same load. */
interface Measure {

    /** Returns the name that selects the benchmark on the command line. */
    String name();

    /** Runs the benchmark with the load that the seed generates. */
    List<Figure> run(long seed);
}
