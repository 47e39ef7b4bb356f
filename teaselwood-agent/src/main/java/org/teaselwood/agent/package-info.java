/** The agent process, which runs beside each backend server and controls its worker. */
package org.teaselwood.agent;
