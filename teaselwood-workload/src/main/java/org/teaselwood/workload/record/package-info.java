/** Keys and JSON encodings of the state that is stored in the key-value service. */
package org.teaselwood.workload.record;
