package org.oleandertrack.bench;

import java.util.List;

/** A measure: policies and baselines under the same load. */
interface Measure {

    /** Returns the name on the command line. */
    String name();

    /** Runs the measure with the load of a seed. */
    List<Figure> run(long seed);
}
